import {
  ErrorCodes,
  getLogger,
  monotonicMs,
  Wakeup,
  type VmuxError,
} from '@vanillamux/shared';
import {ContactKeeper} from './contact_keeper.js';
import type {LogEntry} from './log_entry.js';
import type {Member} from './member.js';
import type {AppendReply} from './messages.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';
import {SnapshotSender} from './snapshot_sender.js';
import type {Snapshot} from './snapshot.js';

/** Most characters of entries in one call, unless it carries a single entry. */
const MAX_CALL_CHARACTERS = 64 * 1_024;
/** Smallest limit of a call, and the step by which it grows again. */
const MIN_CALL_CHARACTERS = 4 * 1_024;
/** Entries with more characters are replaced by a snapshot that has fewer. */
const MAX_REPLAYED_CHARACTERS = 512 * 1_024;
/** Slowest rate at which a member receives and stores entries. */
const MIN_CHARACTERS_PER_MS = 1_000;

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

/**
 * Sends entries, heartbeats and snapshots from the leader to one peer. A peer
 * that is far behind receives a snapshot, so the time to catch up depends on
 * the size of the state and not on the length of the log.
 */
export class Replicator {
  readonly peer: Member;
  matchIndex = 0;
  /** Time at which the last call with a reply was sent; extends the lease. */
  lastContactMs = Number.NEGATIVE_INFINITY;
  readonly startedMs = monotonicMs();
  /** Whether another member answers at the peer's address. */
  isReplaced = false;
  private nextIndex: number;
  private maxCharacters = MAX_CALL_CHARACTERS;
  /** Whether the next call asks for the peer's position and has no entries. */
  private isProbing = false;
  /** Whether the peer gets entries although a snapshot was considered. */
  private prefersEntries = false;
  private readonly snapshots: SnapshotSender;
  private readonly contact: ContactKeeper;
  private readonly wakeup = new Wakeup();

  constructor(private readonly options: ReplicatorOptions) {
    this.peer = options.peer;
    this.nextIndex = options.state.log.lastIndex + 1;
    this.snapshots = new SnapshotSender(options);
    this.contact = new ContactKeeper({
      ...options,
      onReply: ({term}, sentMs) => this.handleHeartbeatReply(term, sentMs),
    });
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
      if (isCaughtUp) this.prefersEntries = false;
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
    const {log: raftLog} = this.options.state;
    if (this.nextIndex <= raftLog.baseIndex || this.snapshots.isSending)
      return this.sendSnapshot(signal);
    if (await this.shouldReplaceEntries()) return this.sendSnapshot(signal);
    return this.sendEntries(sentMs, signal);
  }

  /** Whether a snapshot is smaller than the entries that it would replace. */
  private async shouldReplaceEntries(): Promise<boolean> {
    const {log: raftLog} = this.options.state;
    const hasKnownPosition = Number.isFinite(this.lastContactMs);
    if (this.isProbing || this.prefersEntries || !hasKnownPosition)
      return false;
    const {nextIndex} = this;
    if (raftLog.charactersBetween(nextIndex) <= MAX_REPLAYED_CHARACTERS)
      return false;
    this.prefersEntries = !(await this.snapshots.prepare(
      ({index, state}) =>
        state.length < raftLog.charactersBetween(nextIndex, index),
    ));
    return !this.prefersEntries;
  }

  private async sendEntries(
    sentMs: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {state, term, transport, timing} = this.options;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = state.log.termAt(previousIndex);
    if (previousTerm === undefined) return false;
    const entries = this.isProbing
      ? []
      : state.log.slice(this.nextIndex, this.maxCharacters);
    const characters = countCharacters(entries);
    const call = transport.append(
      this.peer,
      {
        term,
        leaderId: state.selfId,
        previousIndex,
        previousTerm,
        entries,
        commitIndex: state.commitIndex,
      },
      timing.callTimeoutMs + characters / MIN_CHARACTERS_PER_MS,
    );
    const result =
      entries.length > 0 ? await this.contact.during(call, signal) : await call;
    if (signal.aborted) return false;
    if (!result.ok) {
      this.handleUnanswered(entries, characters, result.error);
      return false;
    }
    this.isReplaced = false;
    const reply = result.value;
    if (!this.checkTerm(reply.term)) return false;
    this.lastContactMs = Math.max(this.lastContactMs, sentMs);
    this.applyReply(reply, previousIndex);
    this.options.onContact();
    return true;
  }

  private handleHeartbeatReply(term: number, sentMs: number): void {
    if (!this.checkTerm(term)) return;
    this.lastContactMs = Math.max(this.lastContactMs, sentMs);
    this.options.onContact();
  }

  private applyReply(reply: AppendReply, previousIndex: number): void {
    const {log: raftLog} = this.options.state;
    const wasProbing = this.isProbing;
    this.isProbing = false;
    if (!reply.accepted) {
      this.nextIndex = Math.max(1, Math.min(reply.retryFrom, previousIndex));
      return;
    }
    this.matchIndex = Math.max(this.matchIndex, reply.matchIndex);
    this.nextIndex = this.matchIndex + 1;
    // A call without a reply in time may still have delivered its entries. The
    // next call checks whether they match.
    if (wasProbing && reply.lastIndex !== undefined) {
      const lastIndex = Math.min(reply.lastIndex, raftLog.lastIndex);
      this.nextIndex = Math.max(this.nextIndex, lastIndex + 1);
    }
    this.maxCharacters = Math.min(
      this.maxCharacters + MIN_CALL_CHARACTERS,
      MAX_CALL_CHARACTERS,
    );
  }

  /** Makes the next call small, because this one may have been too large. */
  private handleUnanswered(
    entries: readonly LogEntry[],
    characters: number,
    error: VmuxError,
  ): void {
    this.isProbing = true;
    this.isReplaced = isFromAnotherMember(error);
    if (entries.length === 0) return;
    this.maxCharacters = Math.max(
      Math.floor(Math.min(this.maxCharacters, characters) / 2),
      MIN_CALL_CHARACTERS,
    );
    log.warn('A member did not acknowledge entries.', {
      member: this.peer.id,
      firstIndex: entries[0]?.index,
      entries: entries.length,
      characters,
      reason: error.message,
    });
  }

  private async sendSnapshot(signal: AbortSignal): Promise<boolean> {
    const result = await this.contact.during(this.snapshots.send(), signal);
    if (signal.aborted) return false;
    this.isReplaced = !result.ok && isFromAnotherMember(result.error);
    if (!result.ok) return false;
    const {term, sentMs, installedIndex} = result.value;
    if (!this.checkTerm(term)) return false;
    this.lastContactMs = Math.max(this.lastContactMs, sentMs);
    if (installedIndex !== undefined) {
      this.matchIndex = Math.max(this.matchIndex, installedIndex);
      this.nextIndex = this.matchIndex + 1;
    }
    this.options.onContact();
    return true;
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

/** Whether the process at the peer's address has another member id. */
function isFromAnotherMember({code}: VmuxError): boolean {
  return code === ErrorCodes.NotFound;
}

function countCharacters(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, {data}) => sum + data.length, 0);
}
