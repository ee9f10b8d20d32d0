import {PlacementPolicyName} from '@vanillamux/gateway';
import type {DayOutcome} from './day_outcome.js';
import type {DaySpec} from './day_spec.js';
import type {DaySummary} from './day_summary.js';
import {simulateDay} from './simulate_day.js';
import {summarizeDay} from './summarize_day.js';

/** Options of `comparePlacements`. */
export interface CompareOptions {
  readonly spec: DaySpec;
  readonly seeds: readonly number[];
  readonly placements?: readonly PlacementPolicyName[];
}

/** A placement with the summary of all its days together. */
export interface PlacementSummary {
  readonly placement: PlacementPolicyName;
  readonly summary: DaySummary;
}

/** Plays the same virtual days with several placements. */
export function comparePlacements({
  spec,
  seeds,
  placements = Object.values(PlacementPolicyName),
}: CompareOptions): PlacementSummary[] {
  return placements.map(placement => {
    const outcomes: DayOutcome[] = seeds.flatMap(seed =>
      simulateDay({spec, seed, placement}),
    );
    return {placement, summary: summarizeDay(outcomes)};
  });
}
