import {monotonicMs, Wakeup} from '@vanillamux/shared';
import type {Member} from './member.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';
import type {Snapshot} from './snapshot.js';

const MAX_ENTRIES_PER_CALL = 512;
const SNAPSHOT_CHUNK_CHARACTERS = 512 * 1_024;
const SNAPSHOT_TIMEOUT_FACTOR = 10;

/** What a replicator needs of the leader that started it. */
export interface ReplicatorOptions {
  readonly peer: Member;
  readonly term: number;
  readonly state: RaftState;
  readonly transport: RaftTransport;
  readonly timing: RaftTiming;
  readonly takeSnapshot: () => Promise<Snapshot>;
  readonly onContact: () => void;
}

/** The leader's task for one peer: entries, heartbeats and snapshots. */
export class Replicator {
  readonly peer: Member;
  matchIndex = 0;
  /** When the last answered call was sent; extends the leader's lease. */
  lastContactMs = Number.NEGATIVE_INFINITY;
  private nextIndex: number;
  private readonly wakeup = new Wakeup();

  constructor(private readonly options: ReplicatorOptions) {
    this.peer = options.peer;
    this.nextIndex = options.state.log.lastIndex + 1;
  }

  /** Tells the task that there are new entries or a new commit index. */
  notify(): void {
    this.wakeup.notify();
  }

  /** Replicates until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {state, timing} = this.options;
    let isCaughtUp = false;
    while (!signal.aborted) {
      const startedMs = monotonicMs();
      const hasReplied = await this.sendNext(startedMs, signal);
      if (signal.aborted) return;
      isCaughtUp = this.nextIndex > state.log.lastIndex;
      if (hasReplied && !isCaughtUp) continue;
      const elapsedMs = monotonicMs() - startedMs;
      await this.wakeup.wait(
        Math.max(timing.heartbeatMs - elapsedMs, 0),
        signal,
      );
    }
  }

  /** One call and its answer. Returns whether the peer answered. */
  private async sendNext(
    sentMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {state} = this.options;
    if (this.nextIndex <= state.log.baseIndex) return this.sendSnapshot(signal);
    return this.sendEntries(sentMs, signal);
  }

  private async sendEntries(
    sentMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {state, term, transport, timing} = this.options;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = state.log.termAt(previousIndex);
    if (previousTerm === undefined) return false;
    const result = await transport.append(
      this.peer,
      {
        term,
        leaderId: state.selfId,
        previousIndex,
        previousTerm,
        entries: state.log.slice(this.nextIndex, MAX_ENTRIES_PER_CALL),
        commitIndex: state.commitIndex,
      },
      timing.callTimeoutMs,
    );
    if (signal.aborted || !result.ok) return false;
    const reply = result.value;
    if (!this.checkTerm(reply.term)) return false;
    this.lastContactMs = sentMs;
    if (reply.accepted) {
      this.matchIndex = Math.max(this.matchIndex, reply.matchIndex);
      this.nextIndex = this.matchIndex + 1;
    } else {
      this.nextIndex = Math.max(1, Math.min(reply.retryFrom, previousIndex));
    }
    this.options.onContact();
    return true;
  }

  private async sendSnapshot(signal: AbortSignal): Promise<boolean> {
    const {term, transport, timing, state: raftState} = this.options;
    const {
      index,
      term: lastTerm,
      members,
      state: serializedState,
    } = await this.options.takeSnapshot();
    let offset = 0;
    do {
      const sentMs = monotonicMs();
      const chunk = serializedState.slice(
        offset,
        offset + SNAPSHOT_CHUNK_CHARACTERS,
      );
      const result = await transport.snapshot(
        this.peer,
        {
          term,
          leaderId: raftState.selfId,
          lastIndex: index,
          lastTerm,
          members: [...members],
          offset,
          chunk,
          done: offset + chunk.length === serializedState.length,
        },
        timing.callTimeoutMs * SNAPSHOT_TIMEOUT_FACTOR,
      );
      if (signal.aborted || !result.ok) return false;
      if (!this.checkTerm(result.value.term)) return false;
      this.lastContactMs = sentMs;
      offset = result.value.nextOffset;
    } while (offset < serializedState.length);
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = this.matchIndex + 1;
    this.options.onContact();
    return true;
  }

  /** Steps down when the peer knows a later term. */
  private checkTerm(term: number): boolean {
    const {state} = this.options;
    if (term <= this.options.term) return true;
    state.enterTerm(term);
    return false;
  }
}
