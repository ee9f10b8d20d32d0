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

/**
 * Part of the minimum election timeout for which a lease is valid. The lease
 * ends before followers may vote for another member, to allow for clock drift.
 */
const LEASE_FRACTION = 0.9;

/** Dependencies of a `Leader`, provided by its node. */
export interface LeaderOptions {
  readonly state: RaftState;
  readonly transport: RaftTransport;
  readonly timing: RaftTiming;
  readonly takeSnapshot: () => Promise<Snapshot>;
  readonly onCommit: () => void;
  /** Called with the error of a write that may have lost entries. */
  readonly onStorageFailure: (error: unknown) => void;
}

interface RunningReplicator {
  readonly replicator: Replicator;
  readonly abortController: AbortController;
}

/**
 * Leads the group for one term: runs one replicator per peer, commits entries
 * that a quorum holds, and tracks the leader's lease.
 */
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

  /** Starts the replicators and the quorum check. */
  start(): void {
    this.updateReplicators();
    void this.monitorQuorum();
  }

  /** Stops the replicators and the quorum check. */
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

  /** Starts replicators for new peers and stops those of removed peers. */
  updateReplicators(): void {
    const {state} = this.options;
    const peers = state.members.filter(({id}) => id !== state.selfId);
    for (const peer of peers) {
      if (!this.replicators.has(peer.id)) this.startReplicator(peer);
    }
    for (const [id, {abortController}] of this.replicators) {
      if (peers.some(peer => peer.id === id)) continue;
      abortController.abort();
      this.replicators.delete(id);
    }
  }

  /** Returns the last log index known to match on a peer. */
  matchIndexOf(memberId: string): number {
    return this.replicators.get(memberId)?.replicator.matchIndex ?? 0;
  }

  /**
   * Returns the milliseconds since the last call that a peer replied to was
   * sent, at most since this leader knows the peer.
   */
  silentMsOf(memberId: string): number {
    const contactMs = this.lastContactMsOf(memberId);
    const startedMs =
      this.replicators.get(memberId)?.replicator.startedMs ?? this.startedMs;
    return monotonicMs() - Math.max(contactMs, startedMs);
  }

  /**
   * Whether another member answers at the member's address: its host has lost
   * the disk, and the member will never answer again.
   */
  isReplaced(memberId: string): boolean {
    return this.replicators.get(memberId)?.replicator.isReplaced ?? false;
  }

  /** Whether the lease is valid, so no other member can have become leader. */
  holdsLease(): boolean {
    const leaseMs = this.options.timing.electionMinMs * LEASE_FRACTION;
    return monotonicMs() - this.quorumContactMs() < leaseMs;
  }

  /**
   * Confirms that no other member had become leader when this method was
   * called, by waiting until a quorum replies to calls sent since then.
   * Unlike the lease, the result is also valid if the process was suspended and
   * its monotonic clock stood still.
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
      abortController,
    });
    const signal = AbortSignal.any([
      this.abortController.signal,
      abortController.signal,
    ]);
    void replicator.run(signal);
  }

  /**
   * Steps down when no quorum has replied for the maximum election timeout
   * (check-quorum).
   */
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
    // Only entries of the current term are committed by counting replicas
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

  /** Returns the latest time at which a quorum accepted this leader. */
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
