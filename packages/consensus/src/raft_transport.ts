import type {Result} from '@vanillamux/shared';
import type {Member} from './member.js';
import type {
  AppendReply,
  AppendRequest,
  SnapshotReply,
  SnapshotRequest,
  VoteReply,
  VoteRequest,
} from './messages.js';

/** Sends requests to other members. Every call ends within `timeoutMs`. */
export abstract class RaftTransport {
  abstract vote(
    to: Member,
    request: VoteRequest,
    timeoutMs: number,
  ): Promise<Result<VoteReply>>;
  abstract append(
    to: Member,
    request: AppendRequest,
    timeoutMs: number,
  ): Promise<Result<AppendReply>>;
  abstract snapshot(
    to: Member,
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotReply>>;
  /** Closes all connections. */
  abstract close(): void;
}
