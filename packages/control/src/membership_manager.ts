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

const CHECK_INTERVAL_MS = 250;
/** Time after which a join request that is not renewed is dropped. */
const JOIN_REQUEST_TTL_MS = 5_000;
/** Shortest time between two log lines on a learner that lags. */
const LAG_REPORT_INTERVAL_MS = 1_000;
/** Log entries that a learner may lag behind and still be promoted. */
const MAX_CAUGHT_UP_LAG_ENTRIES = 64;
/** Silence up to which a member counts as alive. */
const MAX_LIVE_SILENCE_MS = 2_000;
/** Size up to which a discovered group grows; 9 voters tolerate 4 losses. */
const MAX_VOTERS = 9;
/**
 * Silence after which a discovered group removes a voter, a few times the
 * election timeout. A dead voter still counts towards the quorum: with four
 * voters, no other may fail. A voter that was only unreachable joins again.
 */
const MAX_VOTER_SILENCE_MS = 3_000;
/** Fewest voters to which a discovered group shrinks by itself. */
const MIN_VOTERS = 3;

interface JoinRequest {
  readonly member: Member;
  readonly receivedMs: number;
  /** Whether an operator made the request, rather than the host itself. */
  readonly isFromOperator: boolean;
}

const log = getLogger('members');

/**
 * Keeps the group at its declared size while this host is the leader. Hosts
 * that lost their disk and standbys are added as learners, promoted to voters
 * once they have caught up, and replace the lost member, which is then removed.
 * Changes are made one at a time.
 */
export class MembershipManager {
  private readonly joinRequests = new Map<string, JoinRequest>();
  private lagReportedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly host: ControlHost) {}

  /** Stores the request of a host that asks to be added to the group. */
  requestJoin(member: Member): Result<boolean> {
    return this.storeJoinRequest(member, false);
  }

  /** Stores the request of an operator to add a host to the group. */
  requestAdd(member: Member): Result<boolean> {
    return this.storeJoinRequest(member, true);
  }

  /** Removes a member at the request of an operator. */
  async remove(memberId: string): Promise<Result<void>> {
    const {members} = this.host.node.status();
    if (!members.some(({id}) => id === memberId)) {
      const message = `no member has the id ${memberId}`;
      return fail(new VmuxError(ErrorCodes.NotFound, {message}));
    }
    return this.changeMembers(
      members.filter(({id}) => id !== memberId),
      `removed ${memberId}`,
    );
  }

  /** Reconciles the member list periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS, signal);
      if (this.host.node.status().role !== RaftRole.Leader) continue;
      await this.reconcile();
    }
  }

  private storeJoinRequest(
    member: Member,
    isFromOperator: boolean,
  ): Result<boolean> {
    const status = this.host.node.status();
    if (status.role !== RaftRole.Leader) {
      const leader = status.members.find(({id}) => id === status.leaderId);
      const field = leader
        ? `${leader.address.host}:${leader.address.port}`
        : undefined;
      return fail(new VmuxError(ErrorCodes.NotLeader, {field}));
    }
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

  /** Promotes, removes or adds at most one member. */
  private async reconcile(): Promise<void> {
    this.expireJoinRequests();
    const {members} = this.host.node.status();
    const readyLearner = members.find(member => this.isReadyLearner(member));
    if (readyLearner) {
      await this.changeMembers(
        members.map(member =>
          member.id === readyLearner.id
            ? {...member, role: MemberRole.Voter}
            : member,
        ),
        `promoted ${readyLearner.id}`,
      );
      return;
    }
    this.reportLaggingLearners();
    const removable = members.find(member => this.isRemovable(member));
    if (removable) {
      await this.changeMembers(
        members.filter(({id}) => id !== removable.id),
        `removed ${removable.id}, which was replaced`,
      );
      return;
    }
    const newMember = this.findNewMember(members);
    if (newMember) {
      await this.changeMembers(
        [...members, {...newMember, role: MemberRole.Learner}],
        `added ${newMember.id} as learner`,
      );
    }
  }

  private isReadyLearner(member: Member): boolean {
    if (member.role !== MemberRole.Learner) return false;
    const {members, lastIndex} = this.host.node.status();
    const status = members.find(({id}) => id === member.id);
    if ((status?.silentMs ?? Infinity) > MAX_LIVE_SILENCE_MS) return false;
    return lastIndex - (status?.matchIndex ?? 0) <= MAX_CAUGHT_UP_LAG_ENTRIES;
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

  /** Whether a voter is silent and the group has more voters than it needs. */
  private isRemovable(member: Member): boolean {
    if (member.role !== MemberRole.Voter) return false;
    const {members} = this.host.node.status();
    const voters = members.filter(({role}) => role === MemberRole.Voter);
    if (voters.length <= this.minVoters) return false;
    const hasSuccessor = voters.some(
      ({id, hostId}) => hostId === member.hostId && id !== member.id,
    );
    const status = members.find(({id}) => id === member.id);
    const silentMs = status?.silentMs ?? 0;
    if (hasSuccessor) return silentMs > MAX_LIVE_SILENCE_MS;
    if (this.usesDiscovery) return silentMs > MAX_VOTER_SILENCE_MS;
    return silentMs > this.host.settings.replaceAfterMs;
  }

  private findNewMember(members: readonly Member[]): Member | undefined {
    for (const {member, isFromOperator} of this.joinRequests.values()) {
      if (members.some(({id}) => id === member.id)) continue;
      if (this.usesDiscovery && members.length < MAX_VOTERS) return member;
      const hasPredecessor = members.some(
        ({hostId}) => hostId === member.hostId,
      );
      if (isFromOperator || hasPredecessor || this.hasLostVoter())
        return member;
    }
    return undefined;
  }

  private hasLostVoter(): boolean {
    const {members} = this.host.node.status();
    const voters = members.filter(({role}) => role === MemberRole.Voter);
    if (voters.length > this.minVoters) return false;
    const {replaceAfterMs} = this.host.settings;
    return voters.some(({silentMs}) => (silentMs ?? 0) > replaceAfterMs);
  }

  /** Whether hosts are discovered and added without being declared. */
  private get usesDiscovery(): boolean {
    return this.host.settings.discovery !== undefined;
  }

  /** Number of voters up to which none is removed. */
  private get minVoters(): number {
    return this.usesDiscovery ? MIN_VOTERS : this.host.settings.group.length;
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
  ): Promise<Result<void>> {
    const plainMembers = members.map(
      ({id, hostId, failureDomain, address, role}) => ({
        id,
        hostId,
        failureDomain,
        address,
        role,
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
