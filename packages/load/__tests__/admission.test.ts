import assert from 'node:assert/strict';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {AdmissionPolicyName, PlacementPolicyName} from '@vanillamux/gateway';
import {loadSettings} from '@vanillamux/shared';
import type {DayOutcome} from '../src/day/day_outcome.js';
import type {DaySpec} from '../src/day/day_spec.js';
import {daySpecSchema} from '../src/day/day_spec_schema.js';
import {simulateDay} from '../src/day/simulate_day.js';
import {summarizeDay} from '../src/day/summarize_day.js';

const SEEDS = [1, 2, 3];
const DAY = fileURLToPath(
  new URL(
    '../../../../examples/lonsvakt/days/alternating.yaml',
    import.meta.url,
  ),
);

/** Loads in which long and short prompts alternate. */
const LOADS: ReadonlyArray<{
  readonly name: string;
  readonly factors: Readonly<Record<string, number>>;
}> = [
  {name: 'what the engines can serve', factors: {}},
  {name: 'more short prompts than slots', factors: {'gauge-brief': 4}},
  {
    name: 'more long prompts than prefill time',
    factors: {'season-review': 5},
  },
];

async function loadDay(
  factors: Readonly<Record<string, number>>,
): Promise<DaySpec> {
  const loaded = await loadSettings(DAY, daySpecSchema);
  assert.ok(loaded.ok, loaded.ok ? '' : loaded.error.message);
  const spec = loaded.value;
  // A class is raised in the phases that it dominates.
  const phases = spec.phases.map(phase => {
    const raised = Object.entries(factors).filter(
      ([name]) => (phase.factors[name] ?? 1) > 1,
    );
    return {
      ...phase,
      factors: {...phase.factors, ...Object.fromEntries(raised)},
    };
  });
  return {...spec, phases};
}

describe('admission by backlog', () => {
  for (const {name, factors} of LOADS) {
    it(`serves clients better under ${name}`, async () => {
      const spec = await loadDay(factors);
      const placement = PlacementPolicyName.EngineTime;
      const play = (admission: AdmissionPolicyName): DayOutcome[] =>
        SEEDS.flatMap(seed => simulateDay({spec, seed, placement, admission}));
      const open = summarizeDay(play(AdmissionPolicyName.Open));
      const backlog = summarizeDay(play(AdmissionPolicyName.Backlog));
      assert.ok(
        backlog.creditShare > open.creditShare,
        `${backlog.creditShare}, ${open.creditShare}`,
      );
      const count = (
        {classes}: typeof open,
        read: (summary: (typeof open)['classes'][number]) => number,
      ): number => classes.reduce((sum, summary) => sum + read(summary), 0);
      assert.ok(
        count(backlog, ({withinGoal}) => withinGoal) >
          count(open, ({withinGoal}) => withinGoal),
      );
      // No class pays for it.
      for (const [at, {name: className, withinGoal}] of open.classes.entries())
        assert.ok(
          backlog.classes[at]!.withinGoal >= 0.95 * withinGoal,
          className,
        );
    });
  }
});
