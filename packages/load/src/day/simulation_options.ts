import type {
  AdmissionPolicyName,
  PlacementPolicyName,
} from '@vanillamux/gateway';
import type {DaySpec} from './day_spec.js';

/** Options of `simulateDay`. */
export interface SimulationOptions {
  readonly spec: DaySpec;
  readonly seed: number;
  readonly placement: PlacementPolicyName;
  /** Admission policy of the entry hosts; by default that of a gateway. */
  readonly admission?: AdmissionPolicyName;
  /** Whether all hosts share one view, without delay; default false. */
  readonly sharesView?: boolean;
  /** Whether hosts learn the pace of engines from their events; default true. */
  readonly observesPace?: boolean;
  /** Whether entry hosts broadcast the work that they place; default true. */
  readonly sendsNotices?: boolean;
}
