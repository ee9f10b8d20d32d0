import type {PlacementPolicyName} from '@vanillamux/gateway';
import type {DaySpec} from './day_spec.js';

/** How a virtual day is played. */
export interface SimulationOptions {
  readonly spec: DaySpec;
  readonly seed: number;
  readonly placement: PlacementPolicyName;
  /** Whether entry hosts tell each other what they place; they do. */
  readonly sendsNotices?: boolean;
}
