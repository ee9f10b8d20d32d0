import type {Member} from './member.js';

/** Log position of a snapshot and the member list in effect there. */
export interface SnapshotMetadata {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
}

/** Serialized state machine at a position of the log. */
export interface Snapshot extends SnapshotMetadata {
  readonly state: string;
}
