import {MemberRole, RaftRole, type Member} from '@vanillamux/consensus';
import {
  ErrorCodes,
  EventKind,
  fail,
  getLogger,
  monotonicMs,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {ControlHost} from './control_host.js';
import {GroupCommandLevel} from './group_command_level.js';
import type {JoinRequest} from './join_request.js';
import {LeaveVerdict} from './leave_verdict.js';
import {MemberLevelRecorder} from './member_level_recorder.js';
import {MembershipPolicy} from './membership_policy.js';
import {recordedGroupSize} from './recorded_group_size.js';

const CHECK_INTERVAL_MS = 250;
/** Time after which a join request that is not renewed is dropped. */
const JOIN_REQUEST_TTL_MS = 5_000;
/** Time after which a request to leave that is not renewed is dropped. */
const LEAVE_REQUEST_TTL_MS = 2_000;
/** Shortest time between two log lines on a learner that lags. */
const LAG_REPORT_INTERVAL_MS = 1_000;
/** Changes in one check; more follow in the next one. */
const MAX_CHANGES_PER_CHECK = 8;

const log = getLogger('members');

/**
 * Keeps the group at its size while this host is the leader: hosts that lost
 * their disk and standbys are added as learners, and become voters in place of
 * a lost member once they have caught up.
 */
export class MembershipManager {
  private readonly joinRequests = new Map<string, JoinRequest>();
  /** When each member that leaves last asked for it. */
  private readonly leaveRequestMs = new Map<string, number>();
  private readonly policy: MembershipPolicy;
  private readonly levels: MemberLevelRecorder;
  private lagReportedMs = Number.NEGATIVE_INFINITY;
  /** Last log index at the previous check while this host was the leader. */
  private previousLastIndex?: number;
  /** The list of members, and when this host first saw it as the leader. */
  private listSeen?: {readonly index: number; readonly sinceMs: number};
  /** Silent voters that were logged. */
  private readonly reportedSilent = new Set<string>();

  constructor(private readonly host: ControlHost) {
    this.levels = new MemberLevelRecorder(host, new GroupCommandLevel(host));
    const {discovery, group, replaceAfterMs} = host.settings;
    this.policy = new MembershipPolicy({
      usesDiscovery: discovery !== undefined,
      declaredMembers: group.length,
      replaceAfterMs,
    });
  }

  /** Stores the request of a host that asks to be added to the group. */
  requestJoin(member: Member): Result<boolean> {
    return this.storeJoinRequest(member, false);
  }

  /** Stores the request of an operator to add a host to the group. */
  requestAdd(member: Member): Result<boolean> {
    return this.storeJoinRequest(member, true);
  }

  /**
   * Takes note that the host of a member stops. The host repeats the request
   * until it has left, or stays a member.
   */
  requestLeave(memberId: string): Result<LeaveVerdict> {
    const status = this.host.node.status();
    if (status.role !== RaftRole.Leader) return this.failAsFollower();
    this.leaveRequestMs.set(memberId, monotonicMs());
    // It must not be added again because of the request with which it came.
    this.joinRequests.delete(memberId);
    const verdict = this.policy.judgeLeaving(
      status,
      this.leavingIds(),
      memberId,
    );
    const isCommitted = status.membersIndex <= status.commitIndex;
    if (verdict === LeaveVerdict.Left && !isCommitted)
      return succeed(LeaveVerdict.Pending);
    return succeed(verdict);
  }

  /** Whether this host's group might remove it if it stopped. */
  get mayLeave(): boolean {
    return this.policy.mayLeave(this.host.node.status());
  }

  /** Whether a member that leaves would be removed now. */
  get canRemoveVoter(): boolean {
    return this.policy.canRemoveVoter(this.host.node.status().members);
  }

  /** Removes a member at the request of an operator. */
  async remove(memberId: string): Promise<Result<void>> {
    const {members} = this.host.node.status();
    if (!members.some(({id}) => id === memberId)) {
      const message = `no member has the id ${memberId}`;
      return fail(new VmuxError(ErrorCodes.NotFound, {message}));
    }
    this.joinRequests.delete(memberId);
    return this.changeMembers(
      members.filter(({id}) => id !== memberId),
      `removed ${memberId}`,
      this.policy.sizeWithout(members, memberId),
    );
  }

  /** Reconciles the member list periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS, signal);
      if (this.host.node.status().role === RaftRole.Leader)
        await this.reconcile();
      else this.forgetLeadership();
    }
  }

  /** Drops what holds only while this host is the leader. */
  private forgetLeadership(): void {
    this.previousLastIndex = undefined;
    this.listSeen = undefined;
    this.reportedSilent.clear();
  }

  private storeJoinRequest(
    member: Member,
    isFromOperator: boolean,
  ): Result<boolean> {
    const status = this.host.node.status();
    if (status.role !== RaftRole.Leader) return this.failAsFollower();
    const previous = this.joinRequests.get(member.id);
    if (status.members.some(({id}) => id === member.id)) return succeed(true);
    this.joinRequests.set(member.id, {
      member,
      receivedMs: monotonicMs(),
      // The host repeats its own request, which must not clear the operator's.
      isFromOperator: isFromOperator || previous?.isFromOperator === true,
    });
    return succeed(true);
  }

  /** Fails with `NotLeader`, and names the leader if it is known. */
  private failAsFollower(): Result<never> {
    const {members, leaderId} = this.host.node.status();
    const leader = members.find(({id}) => id === leaderId);
    const field = leader
      ? `${leader.address.host}:${leader.address.port}`
      : undefined;
    return fail(new VmuxError(ErrorCodes.NotLeader, {field}));
  }

  /** Members that have asked to leave lately. */
  private leavingIds(): ReadonlySet<string> {
    for (const [id, requestedMs] of this.leaveRequestMs) {
      if (monotonicMs() - requestedMs > LEAVE_REQUEST_TTL_MS)
        this.leaveRequestMs.delete(id);
    }
    return new Set(this.leaveRequestMs.keys());
  }

  /** Makes the changes that the group needs now, one after the other. */
  private async reconcile(): Promise<void> {
    this.expireJoinRequests();
    const {node} = this.host;
    // A learner that has all that the log had at the previous check has caught
    // up, at any rate of new entries.
    const caughtUpIndex = this.previousLastIndex ?? node.status().lastIndex;
    this.previousLastIndex = node.status().lastIndex;
    for (let changes = 0; changes < MAX_CHANGES_PER_CHECK; changes++) {
      const change = this.policy.nextChange(
        node.status(),
        [...this.joinRequests.values()],
        caughtUpIndex,
        this.leavingIds(),
      );
      if (!change) break;
      const {members, reason} = change;
      const result = await this.changeMembers(members, reason);
      if (!result.ok) return;
      this.lagReportedMs = monotonicMs();
    }
    this.reportLaggingLearners();
    this.reportSilentVoters();
    await this.recordSize();
    const stated = await this.levels.refresh(monotonicMs());
    if (stated)
      await this.changeMembers(stated, 'recorded the levels of commands');
  }

  /** Records the size of the group, by which it keeps silent voters. */
  private async recordSize(): Promise<void> {
    const status = this.host.node.status();
    const {members, membersIndex: index, commitIndex} = status;
    const nowMs = monotonicMs();
    if (this.listSeen?.index !== index) this.listSeen = {index, sinceMs: nowMs};
    if (index > commitIndex) return;
    const {sinceMs} = this.listSeen;
    const size = this.policy.sizeToRecord(status, nowMs - sinceMs);
    if (size === undefined) return;
    await this.changeMembers(members, `recorded ${size} voters`, size);
  }

  /** Logs once that a voter is silent, as long as it stays a member. */
  private reportSilentVoters(): void {
    const status = this.host.node.status();
    const silent = this.policy.keptSilentVoters(status);
    for (const id of this.reportedSilent)
      if (!silent.some(member => member.id === id))
        this.reportedSilent.delete(id);
    for (const {id, silentMs, groupSize} of silent) {
      if (this.reportedSilent.has(id)) continue;
      this.reportedSilent.add(id);
      log.warn('Kept a silent voter, as it may return with its disk.', {
        member: id,
        silentMs: Math.round(silentMs ?? 0),
        groupSize,
        members: status.members.length,
      });
    }
  }

  private reportLaggingLearners(): void {
    const {members, lastIndex} = this.host.node.status();
    const learners = members.filter(({role}) => role === MemberRole.Learner);
    const nowMs = monotonicMs();
    if (learners.length === 0) return;
    if (nowMs - this.lagReportedMs < LAG_REPORT_INTERVAL_MS) return;
    this.lagReportedMs = nowMs;
    for (const {id, matchIndex, silentMs} of learners) {
      log.info('A learner has not caught up.', {
        member: id,
        matchIndex,
        lastIndex,
        silentMs: Math.round(silentMs ?? 0),
      });
    }
  }

  private expireJoinRequests(): void {
    for (const [id, {receivedMs}] of this.joinRequests) {
      if (monotonicMs() - receivedMs > JOIN_REQUEST_TTL_MS)
        this.joinRequests.delete(id);
    }
  }

  private async changeMembers(
    members: readonly Member[],
    reason: string,
    groupSize = recordedGroupSize(this.host.node.status().members),
  ): Promise<Result<void>> {
    const plainMembers = members.map(
      ({id, hostId, failureDomain, address, role, commandLevel}) => ({
        id,
        hostId,
        failureDomain,
        address,
        role,
        commandLevel,
        groupSize,
      }),
    );
    const result = await this.host.node.changeMembers(plainMembers);
    if (result.ok) {
      this.host.timeline.add(EventKind.MemberChanged, reason);
      log.info('Changed the members.', {reason});
    } else {
      log.warn('Could not change the members.', {reason: result.error.message});
    }
    return result;
  }
}
