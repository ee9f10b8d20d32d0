import {
  MemberRole,
  type GroupStatus,
  type Member,
  type MemberStatus,
} from '@vanillamux/consensus';
import type {JoinRequest} from './join_request.js';
import {LeaveVerdict} from './leave_verdict.js';
import type {MemberChange} from './member_change.js';

/** Silence up to which a member counts as alive. */
const MAX_LIVE_SILENCE_MS = 2_000;
/** Size up to which a discovered group grows; 9 voters tolerate 4 losses. */
const MAX_VOTERS = 9;
/**
 * Silence after which a discovered group removes a surplus member, a few times
 * the election timeout. A dead voter still counts towards the quorum: with four
 * voters, no other may fail, so an even number is not kept as long. A voter that
 * was only unreachable joins again.
 */
const MAX_MEMBER_SILENCE_MS = 3_000;
/** Fewest voters to which a discovered group shrinks by itself. */
const MIN_VOTERS = 3;

/** Options of a `MembershipPolicy`. */
export interface MembershipPolicyOptions {
  /** Whether hosts are discovered and added without being declared. */
  readonly usesDiscovery: boolean;
  /** Number of declared members; ignored with discovery. */
  readonly declaredMembers: number;
  /** Silence after which a voter that cannot be replaced otherwise is. */
  readonly replaceAfterMs: number;
}

/**
 * Decides how the leader changes the members of its group, one at a time. A
 * member that will never answer again is removed before its successor becomes a
 * voter: the group then never needs more live voters than before the loss. A
 * host that is replaced while it runs is a voter beside its successor until it
 * stops, and leaves then.
 */
export class MembershipPolicy {
  constructor(private readonly options: MembershipPolicyOptions) {}

  /**
   * Returns the next change; `undefined` if there is none to make. A learner
   * that has the log up to `caughtUpIndex` may become a voter. `leavingIds` are
   * the members whose hosts stop.
   */
  nextChange(
    status: GroupStatus,
    joinRequests: readonly JoinRequest[],
    caughtUpIndex: number,
    leavingIds: ReadonlySet<string> = new Set(),
  ): MemberChange | undefined {
    return (
      this.removeReplaced(status) ??
      this.removeLeaving(status, leavingIds) ??
      this.promoteLearner(status, caughtUpIndex, leavingIds) ??
      this.removeSurplus(status) ??
      this.addLearner(status, joinRequests)
    );
  }

  /**
   * Decides what becomes of a member whose host stops, which may come back. Out
   * of an even number of voters, the others need a smaller majority without it.
   * Out of an odd number they don't, unless a learner takes its place.
   */
  judgeLeaving(
    {members}: GroupStatus,
    leavingIds: ReadonlySet<string>,
    id: string,
  ): LeaveVerdict {
    const leaving = members.find(member => member.id === id);
    if (!leaving) return LeaveVerdict.Left;
    if (!isVoter(leaving)) return LeaveVerdict.Kept;
    const others = members.filter(member => !leavingIds.has(member.id));
    return this.canRemoveVoter(members) || this.hasSuccessor(others)
      ? LeaveVerdict.Pending
      : LeaveVerdict.Kept;
  }

  /** Whether a member of the group might be removed if its host stopped. */
  mayLeave({members}: GroupStatus): boolean {
    return this.canRemoveVoter(members) || this.hasSuccessor(members);
  }

  /** Whether the group is not weaker without a voter that is down or stops. */
  canRemoveVoter(members: readonly Member[]): boolean {
    const voters = members.filter(isVoter);
    return (
      this.options.usesDiscovery &&
      voters.length > this.minVoters &&
      voters.length % 2 === 0
    );
  }

  /** Whether a learner may become a voter in place of another member. */
  private hasSuccessor(members: readonly MemberStatus[]): boolean {
    // A host that has left joins again only if it discovers its group.
    return this.options.usesDiscovery && members.some(isLiveLearner);
  }

  private removeLeaving(
    {members, selfId}: GroupStatus,
    leavingIds: ReadonlySet<string>,
  ): MemberChange | undefined {
    if (!this.canRemoveVoter(members)) return undefined;
    const member = members.find(
      candidate =>
        isVoter(candidate) &&
        candidate.id !== selfId &&
        leavingIds.has(candidate.id),
    );
    return member && remove(members, member, 'which stops');
  }

  private removeReplaced({members}: GroupStatus): MemberChange | undefined {
    const member = members.find(({isReplaced}) => isReplaced);
    return member && remove(members, member, 'whose disk is lost');
  }

  private promoteLearner(
    {members}: GroupStatus,
    caughtUpIndex: number,
    leavingIds: ReadonlySet<string>,
  ): MemberChange | undefined {
    const learner = members.find(
      member =>
        isLiveLearner(member) &&
        !leavingIds.has(member.id) &&
        (member.matchIndex ?? 0) >= caughtUpIndex,
    );
    if (!learner) return undefined;
    const lostVoter = members.find(
      member => isVoter(member) && silenceOf(member) > MAX_LIVE_SILENCE_MS,
    );
    if (lostVoter) return remove(members, lostVoter, `for ${learner.id}`);
    return {
      members: members.map(member =>
        member.id === learner.id ? {...member, role: MemberRole.Voter} : member,
      ),
      reason: `promoted ${learner.id}`,
    };
  }

  private removeSurplus({members}: GroupStatus): MemberChange | undefined {
    const voters = members.filter(isVoter);
    const surplus = members.find(member => {
      if (silenceOf(member) <= this.maxSilenceMs(member, voters)) return false;
      // A removed host asks to join again only if it discovers its group.
      if (!isVoter(member)) return this.options.usesDiscovery;
      return voters.length > this.minVoters;
    });
    return surplus && remove(members, surplus, 'which is silent');
  }

  private maxSilenceMs(
    {id, hostId}: Member,
    voters: readonly Member[],
  ): number {
    const hasSuccessor = voters.some(
      voter => voter.hostId === hostId && voter.id !== id,
    );
    const {usesDiscovery, replaceAfterMs} = this.options;
    if (hasSuccessor) return MAX_LIVE_SILENCE_MS;
    if (!usesDiscovery) return replaceAfterMs;
    return this.canRemoveVoter(voters)
      ? MAX_LIVE_SILENCE_MS
      : MAX_MEMBER_SILENCE_MS;
  }

  private addLearner(
    {members}: GroupStatus,
    joinRequests: readonly JoinRequest[],
  ): MemberChange | undefined {
    const request = joinRequests.find(
      ({member, isFromOperator}) =>
        !members.some(({id}) => id === member.id) &&
        (isFromOperator || this.needs(member, members)),
    );
    if (!request) return undefined;
    const learner = {...request.member, role: MemberRole.Learner};
    return {
      members: [...members, learner],
      reason: `added ${learner.id} as learner`,
    };
  }

  /** Whether the group needs a host that asks to join. */
  private needs(candidate: Member, members: readonly MemberStatus[]): boolean {
    if (members.some(({hostId}) => hostId === candidate.hostId)) return true;
    const voters = members.filter(isVoter);
    if (this.options.usesDiscovery) return members.length < MAX_VOTERS;
    if (members.length < this.minVoters) return true;
    return (
      voters.length <= this.minVoters &&
      voters.some(voter => silenceOf(voter) > this.options.replaceAfterMs)
    );
  }

  /** Number of voters up to which a silent one is not removed. */
  private get minVoters(): number {
    const {usesDiscovery, declaredMembers} = this.options;
    return usesDiscovery ? MIN_VOTERS : declaredMembers;
  }
}

function isVoter({role}: Member): boolean {
  return role === MemberRole.Voter;
}

function isLiveLearner(member: MemberStatus): boolean {
  return !isVoter(member) && silenceOf(member) <= MAX_LIVE_SILENCE_MS;
}

function silenceOf({silentMs}: MemberStatus): number {
  return silentMs ?? 0;
}

function remove(
  members: readonly Member[],
  {id}: Member,
  reason: string,
): MemberChange {
  return {
    members: members.filter(member => member.id !== id),
    reason: `removed ${id}, ${reason}`,
  };
}
