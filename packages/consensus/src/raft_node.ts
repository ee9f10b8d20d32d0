import {
  ErrorCodes,
  EventBus,
  fail,
  getLogger,
  invariant,
  monotonicMs,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {isTransientDiskError} from '@vanillamux/storage';
import type {Stream} from 'most';
import {CommitSaver} from './commit_saver.js';
import {ElectionManager} from './election_manager.js';
import {EntryKind} from './entry_kind.js';
import {Follower} from './follower.js';
import type {GroupStatus} from './group_status.js';
import {Leader} from './leader.js';
import type {Member} from './member.js';
import {MemberRole} from './member_role.js';
import type {
  AppendReply,
  AppendRequest,
  SnapshotReply,
  SnapshotRequest,
  VoteReply,
  VoteRequest,
} from './messages.js';
import {PendingProposals} from './pending_proposals.js';
import {RaftRole} from './raft_role.js';
import {RaftState} from './raft_state.js';
import type {RecoveredState} from './raft_storage.js';
import {DEFAULT_TIMING, type RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';
import type {Snapshot} from './snapshot.js';
import type {StateMachine} from './state_machine.js';
import {VoteHandler} from './vote_handler.js';

const DEFAULT_SNAPSHOT_ENTRIES = 8_192;
const DEFAULT_TRAILING_ENTRIES = 1_024;
const MAX_PENDING_PROPOSALS = 16_384;
/** Log size on disk at which a snapshot is taken, for any number of entries. */
const SNAPSHOT_BYTES = 16 * 1_024 * 1_024;
/** Size of the entries kept before a snapshot; far below `SNAPSHOT_BYTES`. */
const TRAILING_BYTES = 4 * 1_024 * 1_024;

/** Time without elections after a resignation; several election timeouts. */
const RESIGNATION_MS = 3_000;

const log = getLogger('consensus');

/** Options of a `RaftNode`. */
export interface RaftNodeOptions {
  readonly selfId: string;
  readonly recovered: RecoveredState;
  readonly transport: RaftTransport;
  readonly stateMachine: StateMachine;
  readonly timing?: RaftTiming;
  /** Number of applied entries after which a snapshot is taken. */
  readonly snapshotEntries?: number;
  /** Number of entries kept before a snapshot for members that lag a bit. */
  readonly trailingEntries?: number;
}

/**
 * Runs one member of a group that replicates a log by quorum with the Raft
 * algorithm (Ongaro, 2014), including pre-vote, check-quorum, leader lease,
 * learners and snapshots.
 */
export class RaftNode {
  private readonly state: RaftState;
  private readonly stateMachine: StateMachine;
  private readonly timing: RaftTiming;
  private readonly electionManager: ElectionManager;
  private readonly voteHandler: VoteHandler;
  private readonly follower: Follower;
  private readonly pendingProposals = new PendingProposals();
  private readonly roleBus = new EventBus<RaftRole>();
  private readonly appliedBus = new EventBus<number>();
  private readonly abortController = new AbortController();
  private readonly commitSaver: CommitSaver;
  private leader?: Leader;
  private appliedIndex: number;
  /** Compaction or installation of a snapshot; one runs at a time. */
  private snapshotTask?: Promise<void>;

  constructor(private readonly options: RaftNodeOptions) {
    const {recovered, stateMachine, transport, selfId} = options;
    const {storage, ballot, snapshot} = recovered;
    this.stateMachine = stateMachine;
    this.timing = options.timing ?? DEFAULT_TIMING;
    this.state = new RaftState(selfId, recovered.log, storage, ballot, role =>
      this.onRoleChange(role),
    );
    this.appliedIndex = recovered.log.baseIndex;
    if (snapshot) stateMachine.restore(snapshot.state);
    this.state.commitIndex = recovered.commitIndex;
    this.commitSaver = new CommitSaver(this.state, this.abortController.signal);
    this.applyCommitted();
    this.voteHandler = new VoteHandler(this.state, this.timing);
    this.electionManager = new ElectionManager(
      this.state,
      transport,
      this.timing,
      () => this.becomeLeader(),
    );
    this.follower = new Follower(
      this.state,
      () => this.applyCommitted(),
      (request, serializedState) =>
        this.installSnapshot(request, serializedState),
    );
  }

  /** Id of this member. */
  get selfId(): string {
    return this.state.selfId;
  }

  /** Starts to participate in elections. */
  start(): void {
    this.electionManager
      .run(this.abortController.signal)
      .catch((error: unknown) => this.onStorageFailure(error));
  }

  /**
   * Gives up leadership, so that another member is elected: this one does not
   * stand again until the others had the time to.
   */
  resign(): void {
    if (!this.leader) return;
    this.electionManager.delay(RESIGNATION_MS);
    this.state.leaderId = undefined;
    this.state.become(RaftRole.Follower);
  }

  /** Stops elections and replication, and closes transport and storage. */
  async stop(): Promise<void> {
    this.abortController.abort();
    this.state.become(RaftRole.Follower);
    this.leader?.stop();
    this.pendingProposals.failAll();
    this.options.transport.close();
    await this.snapshotTask;
    await this.state.storage.close();
  }

  /** Streams the index of each applied entry. */
  appliedIndexes(): Stream<number> {
    return this.appliedBus.stream();
  }

  /** Streams the role whenever it changes. */
  roles(): Stream<RaftRole> {
    return this.roleBus.stream();
  }

  handleVote(request: VoteRequest): Promise<VoteReply> {
    return this.endOnStorageFailure(this.voteHandler.handle(request));
  }

  handleAppend(request: AppendRequest): Promise<AppendReply> {
    return this.endOnStorageFailure(this.follower.handleAppend(request));
  }

  handleSnapshot(request: SnapshotRequest): Promise<SnapshotReply> {
    return this.endOnStorageFailure(this.follower.handleSnapshot(request));
  }

  /**
   * Replicates a command and returns the state machine's result. A `NotLeader`
   * error with `ran: not_run` means that the command never entered the log.
   * With `unknown`, the command may still be committed, so commands must be
   * idempotent.
   */
  async propose(command: string): Promise<Result<unknown>> {
    const {leader} = this;
    if (!leader) return fail(this.createNotLeaderError());
    if (this.pendingProposals.size >= MAX_PENDING_PROPOSALS) {
      return fail(new VmuxError(ErrorCodes.Overloaded));
    }
    const entry = leader.append(EntryKind.Command, command);
    return this.pendingProposals.waitUntilApplied(entry.index, entry.term);
  }

  /**
   * Confirms by the leader lease that this member is the leader and has applied
   * every command committed before the call, so that a local read is
   * linearizable.
   */
  async confirmByLease(): Promise<Result<void>> {
    const {leader} = this;
    const committedTerm = this.state.log.termAt(this.state.commitIndex);
    if (!leader || committedTerm !== leader.term || !leader.holdsLease()) {
      return fail(this.createNotLeaderError());
    }
    return succeed(undefined);
  }

  /**
   * Confirms by a round trip to a quorum that this member is the leader and has
   * applied every command committed before the call. The result is also valid
   * if the process was suspended, whereas `confirmByLease` relies on the clock.
   */
  async confirmByQuorum(timeoutMs: number): Promise<Result<void>> {
    const {leader} = this;
    const committedTerm = this.state.log.termAt(this.state.commitIndex);
    if (!leader || committedTerm !== leader.term)
      return fail(this.createNotLeaderError());
    const isConfirmed = await leader.confirmByQuorum(timeoutMs);
    if (!isConfirmed || this.leader !== leader)
      return fail(this.createNotLeaderError());
    return succeed(undefined);
  }

  /** Replaces the member list; at most one voter may differ. */
  async changeMembers(members: readonly Member[]): Promise<Result<void>> {
    const {leader, state} = this;
    if (!leader) return fail(this.createNotLeaderError());
    if (!this.canChangeMembers(members)) {
      const message = 'another membership change is still in progress';
      return fail(new VmuxError(ErrorCodes.StillRunning, {message}));
    }
    const entry = leader.append(EntryKind.Members, JSON.stringify(members));
    leader.updateReplicators();
    const result = await this.pendingProposals.waitUntilApplied(
      entry.index,
      entry.term,
    );
    if (!result.ok) return result;
    if (!state.isVoter) state.become(RaftRole.Follower);
    return succeed(undefined);
  }

  /** Returns the state of the group as known to this member. */
  status(): GroupStatus {
    const {state, leader} = this;
    const leaderSilentMs = leader?.holdsLease()
      ? 0
      : monotonicMs() - state.lastLeaderContactMs;
    return {
      selfId: state.selfId,
      role: state.role,
      term: state.term,
      leaderId: state.leaderId,
      commitIndex: state.commitIndex,
      appliedIndex: this.appliedIndex,
      lastIndex: state.log.lastIndex,
      baseIndex: state.log.baseIndex,
      leaderSilentMs,
      isCurrent: this.isCurrent,
      log: {...state.storage.stats},
      membersIndex: state.log.membership().index,
      members: state.members.map(member => ({
        ...member,
        ...(leader && member.id !== state.selfId
          ? {
              matchIndex: leader.matchIndexOf(member.id),
              silentMs: leader.silentMsOf(member.id),
              isReplaced: leader.isReplaced(member.id),
            }
          : {}),
      })),
    };
  }

  /**
   * Whether this member knows a leader and has applied an entry of its term, and
   * so all that was committed before that leader was elected.
   */
  private get isCurrent(): boolean {
    const {state} = this;
    if (state.leaderId === undefined) return false;
    return state.log.termAt(this.appliedIndex) === state.term;
  }

  private canChangeMembers(members: readonly Member[]): boolean {
    const {state, leader} = this;
    const membership = state.log.membership();
    if (membership.index > state.commitIndex) return false;
    if (state.log.termAt(state.commitIndex) !== leader?.term) return false;
    const currentVoterIds = new Set(state.voters.map(({id}) => id));
    const newVoterIds = new Set(
      members.filter(({role}) => role === MemberRole.Voter).map(({id}) => id),
    );
    const added = [...newVoterIds].filter(
      id => !currentVoterIds.has(id),
    ).length;
    const removed = [...currentVoterIds].filter(
      id => !newVoterIds.has(id),
    ).length;
    invariant(added + removed <= 1, 'at most one voter changes at a time');
    return true;
  }

  private becomeLeader(): void {
    const {state} = this;
    state.become(RaftRole.Leader);
    log.info('Became leader.', {term: state.term});
    this.leader = new Leader({
      state,
      transport: this.options.transport,
      timing: this.timing,
      takeSnapshot: async () => this.takeSnapshot(),
      onCommit: () => this.applyCommitted(),
      onStorageFailure: error => this.onStorageFailure(error),
    });
    this.leader.start();
    this.leader.append(EntryKind.Noop, '');
    this.appendInitialMembers();
  }

  /**
   * Appends the initial member list to the log. The list is otherwise known
   * only from the formation of the group; the log also brings it to a host that
   * missed the end of the formation.
   */
  private appendInitialMembers(): void {
    const {members, index} = this.state.log.membership();
    if (index > 0) return;
    this.leader?.append(EntryKind.Members, JSON.stringify(members));
  }

  private onRoleChange(role: RaftRole): void {
    this.roleBus.emit(role);
    if (role === RaftRole.Leader || !this.leader) return;
    log.info('Stepped down.', {term: this.leader.term});
    this.leader.stop();
    this.leader = undefined;
    this.pendingProposals.failAll();
  }

  private createNotLeaderError(): VmuxError {
    const {state} = this;
    const leader = state.members.find(({id}) => id === state.leaderId);
    const address = leader?.address;
    return new VmuxError(ErrorCodes.NotLeader, {
      message: address
        ? `the leader is at ${address.host}:${address.port}`
        : 'no leader is known',
      field: address ? `${address.host}:${address.port}` : undefined,
    });
  }

  private applyCommitted(): void {
    const {state} = this;
    while (this.appliedIndex < state.commitIndex) {
      const entry = state.log.entryAt(this.appliedIndex + 1);
      invariant(entry !== undefined, 'a committed entry is in the log');
      this.appliedIndex = entry.index;
      const result =
        entry.kind === EntryKind.Command
          ? this.stateMachine.apply(entry.data, entry.index)
          : undefined;
      this.pendingProposals.complete(entry.index, entry.term, result);
      this.appliedBus.emit(entry.index);
    }
    this.commitSaver.notify();
    this.compactIfNeeded();
  }

  private compactIfNeeded(): void {
    const maxEntries = this.options.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES;
    const appliedEntries = this.appliedIndex - this.state.log.baseIndex;
    const isLogLarge = this.state.storage.logBytes >= SNAPSHOT_BYTES;
    if ((appliedEntries < maxEntries && !isLogLarge) || this.snapshotTask)
      return;
    this.snapshotTask = this.compact()
      .catch((error: unknown) => {
        if (!isTransientDiskError(error)) return this.onStorageFailure(error);
        const reason = (error as Error).message;
        log.warn('Could not write a snapshot; retrying.', {reason});
      })
      .finally(() => {
        this.snapshotTask = undefined;
      });
  }

  private async compact(): Promise<void> {
    const {log: raftLog, storage} = this.state;
    const snapshot = this.takeSnapshot();
    await storage.saveSnapshot(snapshot);
    const trailingEntries =
      this.options.trailingEntries ?? DEFAULT_TRAILING_ENTRIES;
    const index = raftLog.compactionIndex(
      snapshot.index,
      trailingEntries,
      TRAILING_BYTES,
    );
    const term = raftLog.termAt(index);
    if (term === undefined) return;
    raftLog.compact({index, term, members: raftLog.membersAt(index)});
    await storage.compactLog(raftLog, () => this.state.currentBallot());
  }

  /**
   * Terminates the process after a write that may have lost entries, because
   * nothing later may be acknowledged. A stopped member acknowledges nothing
   * and only logs the error.
   */
  private onStorageFailure(error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    if (this.abortController.signal.aborted) {
      log.warn('Write failed after the node was stopped.', {reason});
      return;
    }
    log.error('Write failed; terminating the process.', {reason});
    throw error;
  }

  /**
   * Passes on the result of a request, and terminates the process if a write
   * may have lost entries: the member would acknowledge nothing more, and the
   * group would be one loss from having no quorum.
   */
  private endOnStorageFailure<T>(operation: Promise<T>): Promise<T> {
    operation.catch((error: unknown) => {
      if (!isTransientDiskError(error)) this.onStorageFailure(error);
    });
    return operation;
  }

  private takeSnapshot(): Snapshot {
    const {log: raftLog} = this.state;
    const index = this.appliedIndex;
    const term = raftLog.termAt(index);
    invariant(term !== undefined, 'the applied index is in the log');
    return {
      index,
      term,
      members: raftLog.membersAt(index),
      state: this.stateMachine.snapshot(),
    };
  }

  private async installSnapshot(
    request: SnapshotRequest,
    serializedState: string,
  ): Promise<void> {
    const snapshot: Snapshot = {
      index: request.lastIndex,
      term: request.lastTerm,
      members: request.members,
      state: serializedState,
    };
    // A compaction beside it could replace the file by that of an older index,
    // while the log no longer has the entries in between.
    while (this.snapshotTask) await this.snapshotTask;
    if (snapshot.index <= this.appliedIndex) return;
    const installation = this.storeSnapshot(snapshot);
    this.snapshotTask = installation
      .catch(() => undefined)
      .finally(() => {
        this.snapshotTask = undefined;
      });
    await installation;
  }

  private async storeSnapshot(snapshot: Snapshot): Promise<void> {
    const {state} = this;
    await state.storage.saveSnapshot(snapshot);
    if (snapshot.index <= this.appliedIndex) return;
    state.log.compact(snapshot);
    this.stateMachine.restore(snapshot.state);
    this.appliedIndex = snapshot.index;
    state.commitIndex = Math.max(state.commitIndex, snapshot.index);
    await state.storage.compactLog(state.log, () => state.currentBallot());
    this.appliedBus.emit(snapshot.index);
    log.info('Installed a snapshot from the leader.', {index: snapshot.index});
  }
}
