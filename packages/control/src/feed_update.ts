import type {EntryPeer, EvacuationView} from '@vanillamux/protocol';
import type {Packed} from '@vanillamux/rpc';
import type {RegistryUpdate} from './backend_registry.js';
import type {Census} from './census.js';
import type {ControlEndpoint} from './control_endpoint.js';

/** Changes that an entry host lacks. */
export interface FeedUpdate extends RegistryUpdate, Partial<Packed> {
  /** Version of the published document on this control host. */
  readonly version: number;
  /**
   * Emptied failure domains; absent before the first order, and from control
   * hosts of earlier builds.
   */
  readonly evacuation?: EvacuationView;
  /** Present while this control host has just started. */
  readonly census?: Census;
  /** Whether this control host follows a leader that has a quorum. */
  readonly isCurrent: boolean;
  /**
   * Log index of the last list of members that was certain; `control` may be newer.
   * Absent from control hosts of earlier builds.
   */
  readonly membersIndex?: number;
  /** Members of the control group. */
  readonly control: readonly ControlEndpoint[];
  readonly peersVersion: number;
  /** Entry hosts that poll this control host; absent if unchanged. */
  readonly peers?: readonly EntryPeer[];
  /**
   * `FeedContent`, in place of `reports` and `peers`, if the entry host reads it
   * and it is long.
   */
  readonly packed?: string;
}
