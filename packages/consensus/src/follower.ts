import {invariant, monotonicMs} from '@vanillamux/shared';
import type {
  AppendReply,
  AppendRequest,
  SnapshotReply,
  SnapshotRequest,
} from './messages.js';
import type {RaftState} from './raft_state.js';
import {RaftRole} from './raft_role.js';

/** A snapshot being received in chunks. */
interface IncomingSnapshot {
  readonly leaderId: string;
  readonly lastIndex: number;
  text: string;
}

/** Follows a leader: takes entries, heartbeats and snapshots. */
export class Follower {
  private incoming?: IncomingSnapshot;

  constructor(
    private readonly state: RaftState,
    private readonly onCommit: () => void,
    private readonly installSnapshot: (
      request: SnapshotRequest,
      text: string,
    ) => Promise<void>,
  ) {}

  async handleAppend(request: AppendRequest): Promise<AppendReply> {
    const {state} = this;
    if (!this.acceptLeader(request.term, request.leaderId)) {
      return this.reject(state.log.lastIndex + 1);
    }
    const mismatch = this.findMismatch(request);
    if (mismatch !== undefined) {
      await state.storage.sync();
      return this.reject(mismatch);
    }
    for (const entry of request.entries) {
      if (entry.index <= state.log.baseIndex) continue;
      if (state.log.termAt(entry.index) === entry.term) continue;
      invariant(
        entry.index > state.commitIndex,
        'a committed entry is never replaced',
      );
      state.log.put(entry);
      state.storage.appendEntry(entry);
    }
    const matchIndex = request.previousIndex + request.entries.length;
    await state.storage.sync();
    if (state.term !== request.term) return this.reject(matchIndex);
    const commitIndex = Math.min(request.commitIndex, matchIndex);
    if (commitIndex > state.commitIndex) {
      state.commitIndex = commitIndex;
      this.onCommit();
    }
    return {term: state.term, accepted: true, matchIndex, retryFrom: 0};
  }

  async handleSnapshot(request: SnapshotRequest): Promise<SnapshotReply> {
    const {state} = this;
    if (!this.acceptLeader(request.term, request.leaderId)) {
      return {term: state.term, nextOffset: 0};
    }
    const incoming = this.receive(request);
    const nextOffset = incoming.text.length;
    if (request.done && request.offset + request.chunk.length === nextOffset) {
      this.incoming = undefined;
      if (request.lastIndex > state.commitIndex) {
        await this.installSnapshot(request, incoming.text);
      }
    }
    return {term: state.term, nextOffset};
  }

  private receive(request: SnapshotRequest): IncomingSnapshot {
    const same =
      this.incoming?.leaderId === request.leaderId &&
      this.incoming.lastIndex === request.lastIndex;
    if (!same || !this.incoming || request.offset === 0) {
      const {leaderId, lastIndex} = request;
      this.incoming = {leaderId, lastIndex, text: ''};
    }
    if (request.offset === this.incoming.text.length) {
      this.incoming.text += request.chunk;
    }
    return this.incoming;
  }

  private acceptLeader(term: number, leaderId: string): boolean {
    const {state} = this;
    if (term < state.term) return false;
    invariant(
      term > state.term || state.role !== RaftRole.Leader,
      'a term has one leader',
    );
    state.enterTerm(term);
    state.leaderId = leaderId;
    state.leaderHeardMs = monotonicMs();
    return true;
  }

  /** Index from which the leader should retry, if the logs do not join. */
  private findMismatch(request: AppendRequest): number | undefined {
    const {log} = this.state;
    const {previousIndex, previousTerm} = request;
    if (previousIndex < log.baseIndex) return undefined;
    if (log.termAt(previousIndex) === previousTerm) return undefined;
    const conflicting = log.termAt(previousIndex);
    if (conflicting === undefined) return log.lastIndex + 1;
    let first = previousIndex;
    while (first > log.baseIndex + 1 && log.termAt(first - 1) === conflicting) {
      first--;
    }
    return first;
  }

  private reject(retryFrom: number): AppendReply {
    const {term} = this.state;
    return {term, accepted: false, matchIndex: 0, retryFrom};
  }
}
