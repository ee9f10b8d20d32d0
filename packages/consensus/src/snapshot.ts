import type {Member} from './member.js';

/** Position and members that a snapshot covers. */
export interface SnapshotMetadata {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
}

/** The serialized state machine at a position of the log. */
export interface Snapshot extends SnapshotMetadata {
  readonly state: string;
}
