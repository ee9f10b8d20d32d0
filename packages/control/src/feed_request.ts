import type {EntryPeer} from '@vanillamux/protocol';
import type {BackendCounts} from './census.js';

/** State that an entry host has, and how long it waits for a change. */
export interface FeedRequest {
  readonly entry: EntryPeer;
  /** Version of the list of entry hosts that the entry host has. */
  readonly peersVersion: number;
  readonly registryId: string;
  readonly position: number;
  /** Version of the published document that the entry host has; -1 for none. */
  readonly version: number;
  /**
   * Revision of the emptied failure domains that the entry host has. Those of
   * earlier builds leave it out, and are not told of a change.
   */
  readonly evacuationRevision?: number;
  /**
   * Log index of the list of members that this control host has told the entry
   * host; those of earlier builds leave it out.
   */
  readonly membersIndex?: number;
  /**
   * Backend servers of each service that the entry host may send requests to,
   * now and then; those of earlier builds leave it out.
   */
  readonly knownBackends?: BackendCounts;
  readonly waitMs: number;
  /**
   * Whether the entry host reads `FeedUpdate.packed`; those of earlier builds
   * leave it out.
   */
  readonly readsPacked?: boolean;
}
