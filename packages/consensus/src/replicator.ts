import {
  getLogger,
  monotonicMs,
  Wakeup,
  type VmuxError,
} from '@vanillamux/shared';
import type {LogEntry} from './log_entry.js';
import type {Member} from './member.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';
import type {Snapshot} from './snapshot.js';

const MAX_ENTRIES_PER_CALL = 512;
const SNAPSHOT_CHUNK_CHARACTERS = 512 * 1_024;
const SNAPSHOT_TIMEOUT_FACTOR = 10;

const log = getLogger('consensus');

/** Dependencies of a `Replicator`, provided by its leader. */
export interface ReplicatorOptions {
  readonly peer: Member;
  readonly term: number;
  readonly state: RaftState;
  readonly transport: RaftTransport;
  readonly timing: RaftTiming;
  readonly takeSnapshot: () => Promise<Snapshot>;
  readonly onContact: () => void;
}

/** Sends entries, heartbeats and snapshots from the leader to one peer. */
export class Replicator {
  readonly peer: Member;
  matchIndex = 0;
  /** Time at which the last call with a reply was sent; extends the lease. */
  lastContactMs = Number.NEGATIVE_INFINITY;
  private nextIndex: number;
  private readonly wakeup = new Wakeup();

  constructor(private readonly options: ReplicatorOptions) {
    this.peer = options.peer;
    this.nextIndex = options.state.log.lastIndex + 1;
  }

  /** Notifies the replicator of new entries or a new commit index. */
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

  /** Sends entries or a snapshot. Returns whether the peer replied. */
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
    const entries = state.log.slice(this.nextIndex, MAX_ENTRIES_PER_CALL);
    const result = await transport.append(
      this.peer,
      {
        term,
        leaderId: state.selfId,
        previousIndex,
        previousTerm,
        entries,
        commitIndex: state.commitIndex,
      },
      timing.callTimeoutMs,
    );
    if (signal.aborted) return false;
    if (!result.ok) {
      if (entries.length > 0) this.reportUnanswered(entries, result.error);
      return false;
    }
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

  private reportUnanswered(
    entries: readonly LogEntry[],
    error: VmuxError,
  ): void {
    log.warn('A member did not acknowledge entries.', {
      member: this.peer.id,
      firstIndex: entries[0]?.index,
      entries: entries.length,
      characters: entries.reduce((sum, {data}) => sum + data.length, 0),
      reason: error.message,
    });
  }

  /**
   * Steps down if the peer is in a later term. Returns whether the term of this
   * leader is still current.
   */
  private checkTerm(term: number): boolean {
    const {state} = this.options;
    if (term <= this.options.term) return true;
    state.enterTerm(term);
    return false;
  }
}
