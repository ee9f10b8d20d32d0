import type {EntryPeer} from '@vanillamux/protocol';

/** What an entry host has, and how long it waits for more. */
export interface FeedRequest {
  readonly entry: EntryPeer;
  /** Number of the list of entry hosts that it has. */
  readonly peersVersion: number;
  readonly registryId: string;
  readonly position: number;
  /** Version of the published document that it has; -1 for none. */
  readonly version: number;
  readonly waitMs: number;
}
