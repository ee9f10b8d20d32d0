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
  receivedState: string;
}

/** Handles a leader's requests: entries, heartbeats and snapshot chunks. */
export class Follower {
  private incomingSnapshot?: IncomingSnapshot;

  constructor(
    private readonly state: RaftState,
    private readonly onCommit: () => void,
    private readonly installSnapshot: (
      request: SnapshotRequest,
      serializedState: string,
    ) => Promise<void>,
  ) {}

  async handleAppend(request: AppendRequest): Promise<AppendReply> {
    const {state} = this;
    if (!this.acceptLeader(request.term, request.leaderId)) {
      return this.reject(state.log.lastIndex + 1);
    }
    const retryIndex = this.findRetryIndex(request);
    if (retryIndex !== undefined) {
      await state.storage.sync();
      return this.reject(retryIndex);
    }
    for (const entry of request.entries) {
      if (entry.index <= state.log.baseIndex) continue;
      if (state.log.termAt(entry.index) === entry.term) continue;
      invariant(
        entry.index > state.commitIndex,
        'a committed entry is never replaced',
      );
      state.log.truncateAndAppend(entry);
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
    return {
      term: state.term,
      accepted: true,
      matchIndex,
      retryFrom: 0,
      lastIndex: state.log.lastIndex,
    };
  }

  async handleSnapshot(request: SnapshotRequest): Promise<SnapshotReply> {
    const {state} = this;
    if (!this.acceptLeader(request.term, request.leaderId)) {
      return {term: state.term, nextOffset: 0};
    }
    if (request.lastIndex <= state.commitIndex) {
      const nextOffset = request.offset + request.chunk.length;
      return {term: state.term, nextOffset};
    }
    const incoming = this.receiveChunk(request);
    const nextOffset = incoming.receivedState.length;
    if (request.done && request.offset + request.chunk.length === nextOffset) {
      this.incomingSnapshot = undefined;
      await this.installSnapshot(request, incoming.receivedState);
    }
    return {term: state.term, nextOffset};
  }

  private receiveChunk(request: SnapshotRequest): IncomingSnapshot {
    const isSameSnapshot =
      this.incomingSnapshot?.leaderId === request.leaderId &&
      this.incomingSnapshot.lastIndex === request.lastIndex;
    if (!isSameSnapshot || !this.incomingSnapshot || request.offset === 0) {
      const {leaderId, lastIndex} = request;
      this.incomingSnapshot = {leaderId, lastIndex, receivedState: ''};
    }
    if (request.offset === this.incomingSnapshot.receivedState.length) {
      this.incomingSnapshot.receivedState += request.chunk;
    }
    return this.incomingSnapshot;
  }

  private acceptLeader(term: number, leaderId: string): boolean {
    const {state} = this;
    if (term < state.term) return false;
    invariant(
      term > state.term || state.role !== RaftRole.Leader,
      'a term has at most one leader',
    );
    state.enterTerm(term);
    state.leaderId = leaderId;
    state.lastLeaderContactMs = monotonicMs();
    return true;
  }

  /**
   * Returns the index from which the leader should retry, or `undefined` if the
   * log matches at `previousIndex` or a snapshot covers that index.
   */
  private findRetryIndex(request: AppendRequest): number | undefined {
    const {log} = this.state;
    const {previousIndex, previousTerm} = request;
    if (previousIndex < log.baseIndex) return undefined;
    if (log.termAt(previousIndex) === previousTerm) return undefined;
    const conflictingTerm = log.termAt(previousIndex);
    if (conflictingTerm === undefined) return log.lastIndex + 1;
    let firstIndex = previousIndex;
    while (
      firstIndex > log.baseIndex + 1 &&
      log.termAt(firstIndex - 1) === conflictingTerm
    ) {
      firstIndex--;
    }
    return firstIndex;
  }

  private reject(retryFrom: number): AppendReply {
    const {term} = this.state;
    return {term, accepted: false, matchIndex: 0, retryFrom};
  }
}
