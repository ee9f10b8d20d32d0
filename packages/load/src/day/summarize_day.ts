import {percentile} from '../percentile.js';
import type {DayOutcome} from './day_outcome.js';
import type {ClassSummary, DaySummary} from './day_summary.js';

/** Share of the credit that size does not change. */
const FIXED_CREDIT = 0.3;
/** Most that one answer is worth, in answers of mean size. */
const MAX_SIZE_FACTOR = 4;

/** Sums a virtual day up. */
export function summarizeDay(outcomes: readonly DayOutcome[]): DaySummary {
  const names = [
    ...new Set(outcomes.map(({arrival}) => arrival.requestClass.name)),
  ];
  const classes = names.map(name =>
    summarizeClass(
      name,
      outcomes.filter(({arrival}) => arrival.requestClass.name === name),
    ),
  );
  const {earned, available: available} = sumCredit(outcomes);
  return {creditShare: earned / available, classes};
}

function summarizeClass(
  name: string,
  outcomes: readonly DayOutcome[],
): ClassSummary {
  const completed = outcomes.filter(
    ({isCompleted: isCompleted}) => isCompleted,
  );
  const firstEventTimes = completed.map(({firstEventMs}) => firstEventMs!);
  const pauses = completed.map(({longestPauseMs}) => longestPauseMs);
  const withinGoal = outcomes.filter(isWithinGoal).length;
  const lateByFirstEvent = completed.filter(isFirstEventLate).length;
  const {earned, available: available} = sumCredit(outcomes);
  return {
    name,
    requestCount: outcomes.length,
    withinGoal: withinGoal,
    late: completed.length - withinGoal,
    failed: outcomes.length - completed.length,
    lateByFirstEvent: lateByFirstEvent,
    lateByPause: completed.length - withinGoal - lateByFirstEvent,
    creditShare: earned / available,
    firstEventP50Ms: percentile(firstEventTimes, 0.5),
    firstEventP99Ms: percentile(firstEventTimes, 0.99),
    pauseP50Ms: percentile(pauses, 0.5),
    pauseP99Ms: percentile(pauses, 0.99),
    meanPrefillEngines:
      outcomes.reduce(
        (sum, {prefillEngineCount: prefillEngineCount}) =>
          sum + prefillEngineCount,
        0,
      ) / outcomes.length,
  };
}

function isFirstEventLate({
  arrival,
  firstEventMs = Infinity,
}: DayOutcome): boolean {
  return firstEventMs > arrival.requestClass.goalMs;
}

function isWithinGoal(outcome: DayOutcome): boolean {
  const {arrival, longestPauseMs, isCompleted: isCompleted} = outcome;
  const isPauseWithinGoal = longestPauseMs <= arrival.requestClass.pauseGoalMs;
  return isCompleted && isPauseWithinGoal && !isFirstEventLate(outcome);
}

function sumCredit(outcomes: readonly DayOutcome[]): {
  earned: number;
  available: number;
} {
  let earned = 0;
  let available = 0;
  for (const outcome of outcomes) {
    const {requestClass: requestClass, promptTokens} = outcome.arrival;
    const size = promptTokens / requestClass.promptTokens.mean;
    const factor = Math.min(
      MAX_SIZE_FACTOR,
      FIXED_CREDIT + (1 - FIXED_CREDIT) * size,
    );
    available += requestClass.credit * factor;
    if (isWithinGoal(outcome)) earned += requestClass.credit * factor;
    else if (outcome.isCompleted) earned += requestClass.lateCredit * factor;
  }
  return {earned, available: available};
}
