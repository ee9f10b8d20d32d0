import {
  MemberRole,
  type GroupStatus,
  type Member,
  type MemberStatus,
} from '@vanillamux/consensus';
import type {JoinRequest} from './join_request.js';
import type {MemberChange} from './member_change.js';

/** Silence up to which a member counts as alive. */
const MAX_LIVE_SILENCE_MS = 2_000;
/** Size up to which a discovered group grows; 9 voters tolerate 4 losses. */
const MAX_VOTERS = 9;
/**
 * Silence after which a discovered group removes a surplus member, a few times
 * the election timeout. A dead voter still counts towards the quorum: with four
 * voters, no other may fail. A voter that was only unreachable joins again.
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
 * voter: the group then never needs more live voters than before the loss.
 */
export class MembershipPolicy {
  constructor(private readonly options: MembershipPolicyOptions) {}

  /**
   * Returns the next change; `undefined` if there is none to make. A learner
   * that has the log up to `caughtUpIndex` may become a voter.
   */
  nextChange(
    status: GroupStatus,
    joinRequests: readonly JoinRequest[],
    caughtUpIndex: number,
  ): MemberChange | undefined {
    return (
      this.removeReplaced(status) ??
      this.promoteLearner(status, caughtUpIndex) ??
      this.removeSurplus(status) ??
      this.addLearner(status, joinRequests)
    );
  }

  private removeReplaced({members}: GroupStatus): MemberChange | undefined {
    const member = members.find(({isReplaced}) => isReplaced);
    return member && remove(members, member, 'whose disk is lost');
  }

  private promoteLearner(
    {members}: GroupStatus,
    caughtUpIndex: number,
  ): MemberChange | undefined {
    const learner = members.find(
      member =>
        !isVoter(member) &&
        silenceOf(member) <= MAX_LIVE_SILENCE_MS &&
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
    if (hasSuccessor) return MAX_LIVE_SILENCE_MS;
    const {usesDiscovery, replaceAfterMs} = this.options;
    return usesDiscovery ? MAX_MEMBER_SILENCE_MS : replaceAfterMs;
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
