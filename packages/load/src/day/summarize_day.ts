import {percentile} from '../percentile.js';
import type {DayOutcome} from './day_outcome.js';
import type {ClassSummary, DaySummary} from './day_summary.js';

/** Share of the credit that size does not change. */
const FIXED_CREDIT = 0.3;
/** Most that one answer is worth, in answers of mean size. */
const MAX_SIZE_FACTOR = 4;

/** Sums a virtual day up. */
export function summarizeDay(outcomes: readonly DayOutcome[]): DaySummary {
  const names = [...new Set(outcomes.map(({arrival}) => arrival.kind.name))];
  const classes = names.map(name =>
    summarizeClass(
      name,
      outcomes.filter(({arrival}) => arrival.kind.name === name),
    ),
  );
  const {earned, owed} = credit(outcomes);
  return {share: earned / owed, classes};
}

function summarizeClass(
  name: string,
  outcomes: readonly DayOutcome[],
): ClassSummary {
  const whole = outcomes.filter(({isWhole}) => isWhole);
  const firsts = whole.map(({firstEventMs}) => firstEventMs!);
  const pauses = whole.map(({longestPauseMs}) => longestPauseMs);
  const inGoal = outcomes.filter(isInGoal).length;
  const lateFirst = whole.filter(isFirstLate).length;
  const {earned, owed} = credit(outcomes);
  return {
    name,
    asked: outcomes.length,
    inGoal,
    late: whole.length - inGoal,
    failed: outcomes.length - whole.length,
    lateFirst,
    latePause: whole.length - inGoal - lateFirst,
    share: earned / owed,
    firstP50Ms: percentile(firsts, 0.5),
    firstP99Ms: percentile(firsts, 0.99),
    pauseP50Ms: percentile(pauses, 0.5),
    pauseP99Ms: percentile(pauses, 0.99),
    meanEngines:
      outcomes.reduce((sum, {engines}) => sum + engines, 0) / outcomes.length,
  };
}

function isFirstLate({arrival, firstEventMs = Infinity}: DayOutcome): boolean {
  return firstEventMs > arrival.kind.goalMs;
}

function isInGoal(outcome: DayOutcome): boolean {
  const {arrival, longestPauseMs, isWhole} = outcome;
  const isSmooth = longestPauseMs <= arrival.kind.pauseGoalMs;
  return isWhole && isSmooth && !isFirstLate(outcome);
}

function credit(outcomes: readonly DayOutcome[]): {
  earned: number;
  owed: number;
} {
  let earned = 0;
  let owed = 0;
  for (const outcome of outcomes) {
    const {kind, promptTokens} = outcome.arrival;
    const size = promptTokens / kind.promptTokens.mean;
    const factor = Math.min(
      MAX_SIZE_FACTOR,
      FIXED_CREDIT + (1 - FIXED_CREDIT) * size,
    );
    owed += kind.credit * factor;
    if (isInGoal(outcome)) earned += kind.credit * factor;
    else if (outcome.isWhole) earned += kind.lateCredit * factor;
  }
  return {earned, owed};
}
