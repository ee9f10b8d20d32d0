import type {z} from 'zod';
import type {messageSchemas} from './message_schemas.js';

/** Asks for a vote or a pre-vote. */
export type VoteRequest = z.infer<typeof messageSchemas.vote>;

/** Answer to a `VoteRequest`. */
export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Replicates entries; without entries it is a heartbeat. */
export type AppendRequest = z.infer<typeof messageSchemas.append>;

/** Answer to an `AppendRequest`. */
export interface AppendReply {
  readonly term: number;
  readonly accepted: boolean;
  /** When accepted: the last index known to match and to be durable. */
  readonly matchIndex: number;
  /** When rejected: the index from which the leader should try next. */
  readonly retryFrom: number;
}

/** Transfers one chunk of a snapshot. */
export type SnapshotRequest = z.infer<typeof messageSchemas.snapshot>;

/** Answer to a `SnapshotRequest`. */
export interface SnapshotReply {
  readonly term: number;
  /** Offset that the receiver expects next. */
  readonly nextOffset: number;
}
