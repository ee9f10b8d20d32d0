import type {EntryPeer, Presence} from '@vanillamux/protocol';

/** The part of a `FeedUpdate` that grows with the fleet. */
export interface FeedContent {
  readonly reports: readonly Presence[];
  /** Absent if the entry host has the list. */
  readonly peers?: readonly EntryPeer[];
}
