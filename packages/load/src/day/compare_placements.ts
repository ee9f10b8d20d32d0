import {AdmissionPolicyName, PlacementPolicyName} from '@vanillamux/gateway';
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
  readonly admission?: AdmissionPolicyName;
}

/** A placement policy with the summary over all its simulated days. */
export interface PlacementSummary {
  readonly placement: PlacementPolicyName;
  readonly summary: DaySummary;
}

/** Simulates the same days with several placement policies. */
export function comparePlacements({
  spec,
  seeds,
  placements = Object.values(PlacementPolicyName),
  admission = AdmissionPolicyName.Backlog,
}: CompareOptions): PlacementSummary[] {
  return placements.map(placement => {
    const outcomes: DayOutcome[] = seeds.flatMap(seed =>
      simulateDay({spec, seed, placement, admission}),
    );
    return {placement, summary: summarizeDay(outcomes)};
  });
}
