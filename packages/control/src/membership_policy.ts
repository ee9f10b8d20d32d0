import {
  MemberRole,
  type GroupStatus,
  type Member,
  type MemberStatus,
} from '@vanillamux/consensus';
import type {JoinRequest} from './join_request.js';
import {LeaveVerdict} from './leave_verdict.js';
import type {MemberChange} from './member_change.js';
import {recordedGroupSize} from './recorded_group_size.js';

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
 *
 * A silent voter may come back with its disk, so silence alone never makes the
 * group bear fewer lost disks than it did at its full size.
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
      this.removeSurplus(status) ??
      this.promoteLearner(status, caughtUpIndex, leavingIds) ??
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
      voters.length > this.minVoters(members) &&
      voters.length % 2 === 0
    );
  }

  /**
   * Returns the voters that are silent and stay members, as the group would bear
   * fewer losses without them.
   */
  keptSilentVoters({members}: GroupStatus): MemberStatus[] {
    return members.filter(
      member => isVoter(member) && silenceOf(member) > MAX_MEMBER_SILENCE_MS,
    );
  }

  /**
   * Returns the number of voters in contact, if it is to be recorded as the size
   * of the group; `listAgeMs` is the age of the list of members. A voter counts
   * if it has answered since the list was set: one that was lost before its
   * successor became a voter is not counted beside it.
   */
  sizeToRecord({members}: GroupStatus, listAgeMs: number): number | undefined {
    if (!this.options.usesDiscovery) return undefined;
    const voters = members.filter(isVoter);
    const maxSilenceMs = Math.min(listAgeMs, MAX_LIVE_SILENCE_MS);
    const size = voters.filter(
      member => silenceOf(member) < maxSilenceMs && member.matchIndex !== 0,
    ).length;
    const recorded = recordedGroupSize(members);
    // Until a size is known, voters that are away must not be left out of it.
    const isNew =
      recorded === undefined ? size === voters.length : size > recorded;
    return isNew ? size : undefined;
  }

  /** Returns the size of the group after an operator has removed a member. */
  sizeWithout(members: readonly Member[], id: string): number | undefined {
    const size = recordedGroupSize(members);
    const isVoterRemoved = members.some(
      member => member.id === id && isVoter(member),
    );
    if (size === undefined || !isVoterRemoved) return size;
    return Math.max(1, size - 1);
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
    const voters = members.filter(isVoter);
    const isFull = this.options.usesDiscovery && voters.length >= MAX_VOTERS;
    if (isFull && !voters.some(isSilent)) return undefined;
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
      return voters.length > this.minVoters(members);
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
    const minVoters = this.minVoters(members);
    if (this.options.usesDiscovery) {
      // One more may take the place of a voter that is lost.
      const places = MAX_VOTERS + (voters.some(isSilent) ? 1 : 0);
      return members.length < places;
    }
    if (members.length < minVoters) return true;
    return (
      voters.length <= minVoters &&
      voters.some(voter => silenceOf(voter) > this.options.replaceAfterMs)
    );
  }

  /**
   * Number of voters up to which a silent one is not removed: the fewest that
   * bear as many losses as the group at its full size.
   */
  private minVoters(members: readonly Member[]): number {
    const {usesDiscovery, declaredMembers} = this.options;
    if (!usesDiscovery) return declaredMembers;
    const size = recordedGroupSize(members) ?? members.filter(isVoter).length;
    const losses = Math.floor((size - 1) / 2);
    return Math.max(MIN_VOTERS, 2 * losses + 1);
  }
}

function isVoter({role}: Member): boolean {
  return role === MemberRole.Voter;
}

function isLiveLearner(member: MemberStatus): boolean {
  return !isVoter(member) && silenceOf(member) <= MAX_LIVE_SILENCE_MS;
}

function isSilent(member: MemberStatus): boolean {
  return silenceOf(member) > MAX_LIVE_SILENCE_MS;
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
