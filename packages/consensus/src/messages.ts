import type {z} from 'zod';
import type {messageSchemas} from './message_schemas.js';

/** Requests a vote or a pre-vote. */
export type VoteRequest = z.infer<typeof messageSchemas.vote>;

/** Reply to a `VoteRequest`. */
export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Replicates entries; without entries it is a heartbeat. */
export type AppendRequest = z.infer<typeof messageSchemas.append>;

/** Reply to an `AppendRequest`. */
export interface AppendReply {
  readonly term: number;
  readonly accepted: boolean;
  /** If accepted: the last index known to match and to be durable. */
  readonly matchIndex: number;
  /** If rejected: the index from which the leader should retry. */
  readonly retryFrom: number;
  /** Last index of the member's log, which may not match the leader's. */
  readonly lastIndex?: number;
}

/** Transfers one chunk of a snapshot. */
export type SnapshotRequest = z.infer<typeof messageSchemas.snapshot>;

/** Reply to a `SnapshotRequest`. */
export interface SnapshotReply {
  readonly term: number;
  /** Offset that the receiver expects next. */
  readonly nextOffset: number;
}
