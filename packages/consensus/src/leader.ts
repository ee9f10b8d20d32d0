import {monotonicMs, sleep} from '@vanillamux/shared';
import type {EntryKind} from './entry_kind.js';
import type {LogEntry} from './log_entry.js';
import type {Member} from './member.js';
import {quorumOf} from './quorum_of.js';
import {RaftRole} from './raft_role.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';
import {Replicator} from './replicator.js';
import type {Snapshot} from './snapshot.js';

/** A lease ends earlier than followers may vote, to allow for clock drift. */
const LEASE_FRACTION = 0.9;

/** What a leader needs of the node that it runs in. */
export interface LeaderOptions {
  readonly state: RaftState;
  readonly transport: RaftTransport;
  readonly timing: RaftTiming;
  readonly takeSnapshot: () => Promise<Snapshot>;
  readonly onCommit: () => void;
  /** Takes the error of a write that may have lost entries. */
  readonly onStorageFailure: (error: unknown) => void;
}

interface RunningReplicator {
  readonly replicator: Replicator;
  readonly abortController: AbortController;
}

/** One term of leadership: one task per peer and the leader's lease. */
export class Leader {
  readonly term: number;
  private readonly abortController = new AbortController();
  private readonly replicators = new Map<string, RunningReplicator>();
  private readonly contactWaiters = new Set<AbortController>();
  private durableIndex = 0;
  private readonly startedMs = monotonicMs();

  constructor(private readonly options: LeaderOptions) {
    this.term = options.state.term;
  }

  /** Starts the tasks. */
  start(): void {
    this.updateReplicators();
    void this.monitorQuorum();
  }

  /** Ends the tasks. */
  stop(): void {
    this.abortController.abort();
  }

  /** Appends an entry and starts its replication. */
  append(kind: EntryKind, data: string): LogEntry {
    const {state} = this.options;
    const index = state.log.lastIndex + 1;
    const entry: LogEntry = {index, term: this.term, kind, data};
    state.log.truncateAndAppend(entry);
    state.storage.appendEntry(entry);
    this.notifyReplicators();
    state.storage
      .sync()
      .then(() => this.onDurable(index))
      .catch(this.options.onStorageFailure);
    return entry;
  }

  /** Starts tasks for new peers and ends those of removed ones. */
  updateReplicators(): void {
    const {state} = this.options;
    const peers = state.members.filter(({id}) => id !== state.selfId);
    for (const peer of peers) {
      if (!this.replicators.has(peer.id)) this.startReplicator(peer);
    }
    for (const [id, {abortController: abortController}] of this.replicators) {
      if (peers.some(peer => peer.id === id)) continue;
      abortController.abort();
      this.replicators.delete(id);
    }
  }

  /** Last index that the peer is known to hold. */
  matchIndexOf(memberId: string): number {
    return this.replicators.get(memberId)?.replicator.matchIndex ?? 0;
  }

  /** Milliseconds since the peer last answered. */
  silentMsOf(memberId: string): number {
    const contactMs = this.lastContactMsOf(memberId);
    return monotonicMs() - Math.max(contactMs, this.startedMs);
  }

  /** Whether no other member can have become leader. */
  holdsLease(): boolean {
    const leaseMs = this.options.timing.electionMinMs * LEASE_FRACTION;
    return monotonicMs() - this.quorumContactMs() < leaseMs;
  }

  /**
   * Confirms that no other member had become leader when this was called: a
   * quorum answers a call that was sent since. Unlike the lease it holds after
   * the process was suspended, while the monotonic clock stood still.
   */
  async confirmByQuorum(timeoutMs: number): Promise<boolean> {
    const startMs = monotonicMs();
    const {signal} = this.abortController;
    while (!signal.aborted) {
      if (this.quorumContactMs() >= startMs) return true;
      const remainingMs = timeoutMs - (monotonicMs() - startMs);
      if (remainingMs <= 0) return false;
      this.notifyReplicators();
      const waiter = new AbortController();
      this.contactWaiters.add(waiter);
      await sleep(remainingMs, AbortSignal.any([waiter.signal, signal]));
      this.contactWaiters.delete(waiter);
    }
    return false;
  }

  private onContact(): void {
    for (const waiter of this.contactWaiters) waiter.abort();
    this.advanceCommit();
  }

  private startReplicator(peer: Member): void {
    const replicator = new Replicator({
      ...this.options,
      peer,
      term: this.term,
      onContact: () => this.onContact(),
    });
    const abortController = new AbortController();
    this.replicators.set(peer.id, {
      replicator,
      abortController: abortController,
    });
    const signal = AbortSignal.any([
      this.abortController.signal,
      abortController.signal,
    ]);
    void replicator.run(signal);
  }

  /** Check-quorum: a leader that hears no quorum steps down by itself. */
  private async monitorQuorum(): Promise<void> {
    const {state, timing} = this.options;
    const {signal} = this.abortController;
    while (!signal.aborted) {
      await sleep(timing.heartbeatMs, signal);
      if (signal.aborted) return;
      const contactMs = Math.max(this.quorumContactMs(), this.startedMs);
      const silentMs = monotonicMs() - contactMs;
      if (silentMs < timing.electionMaxMs) continue;
      state.lastLeaderContactMs = monotonicMs();
      state.become(RaftRole.Follower);
      state.leaderId = undefined;
    }
  }

  private onDurable(index: number): void {
    if (this.abortController.signal.aborted) return;
    this.durableIndex = Math.max(this.durableIndex, index);
    this.advanceCommit();
  }

  private advanceCommit(): void {
    const {state} = this.options;
    if (this.abortController.signal.aborted) return;
    const matchIndexes = state.voters
      .map(({id}) =>
        id === state.selfId ? this.durableIndex : this.matchIndexOf(id),
      )
      .sort((a, b) => b - a);
    const index = matchIndexes[quorumOf(state.members) - 1] ?? 0;
    if (index <= state.commitIndex) return;
    // Only entries of the present term are committed by counting replicas
    // (Ongaro and Ousterhout, 2014, section 5.4.2).
    if (state.log.termAt(index) !== this.term) return;
    state.commitIndex = index;
    this.notifyReplicators();
    this.options.onCommit();
  }

  private notifyReplicators(): void {
    for (const {replicator} of this.replicators.values()) replicator.notify();
  }

  private lastContactMsOf(memberId: string): number {
    const {selfId} = this.options.state;
    if (memberId === selfId) return monotonicMs();
    const running = this.replicators.get(memberId);
    return running?.replicator.lastContactMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Latest time at which a quorum is known to have followed this leader. */
  private quorumContactMs(): number {
    const {state} = this.options;
    const contactTimes = state.voters
      .map(({id}) => this.lastContactMsOf(id))
      .sort((a, b) => b - a);
    return (
      contactTimes[quorumOf(state.members) - 1] ?? Number.NEGATIVE_INFINITY
    );
  }
}
