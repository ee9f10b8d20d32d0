import type {EntryPeer} from '@vanillamux/protocol';
import type {RegistryUpdate} from './backend_registry.js';
import type {ControlEndpoint} from './control_endpoint.js';

/** What is new to an entry host. */
export interface FeedUpdate extends RegistryUpdate {
  /** Version of the published document that this control host has. */
  readonly version: number;
  /** Whether this control host follows a leader that has a quorum. */
  readonly isCurrent: boolean;
  /** Control hosts that are members of the group. */
  readonly control: readonly ControlEndpoint[];
  readonly peersVersion: number;
  /** Entry hosts that ask this control host, unless the list is unchanged. */
  readonly peers?: readonly EntryPeer[];
}
