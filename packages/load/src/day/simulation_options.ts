import type {PlacementPolicyName} from '@vanillamux/gateway';
import type {DaySpec} from './day_spec.js';

/** Options of `simulateDay`. */
export interface SimulationOptions {
  readonly spec: DaySpec;
  readonly seed: number;
  readonly placement: PlacementPolicyName;
  /** Whether entry hosts broadcast the work that they place; default true. */
  readonly sendsNotices?: boolean;
}
