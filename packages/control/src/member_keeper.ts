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
const JOIN_TTL_MS = 5_000;
const CAUGHT_UP_ENTRIES = 64;
const ALIVE_MS = 2_000;
/** Most voters of a group that grows by itself; it then bears 4 losses. */
const MAX_VOTERS = 9;
/**
 * Silence after which a discovered group goes on without a voter. A dead one
 * counts towards the quorum, so that with four voters no other may be lost; one
 * that was only cut off joins again by itself. Some times the election timeout.
 */
const SILENT_VOTER_MS = 3_000;
/** A discovered group never shrinks below this on its own. */
const MIN_VOTERS = 3;

interface JoinRequest {
  readonly member: Member;
  readonly seenMs: number;
  /** Whether an operator asked for it, rather than the host itself. */
  readonly byOperator: boolean;
}

const log = getLogger('members');

/**
 * The leader's task that keeps the group at its declared size: hosts that lost
 * their disk and standbys join as learners, become voters once they have caught
 * up, and replace the member that was lost. One change at a time.
 */
export class MemberKeeper {
  private readonly joining = new Map<string, JoinRequest>();

  constructor(private readonly host: ControlHost) {}

  /** Notes a host that has no group and asks to be added. */
  register(member: Member): Result<boolean> {
    return this.note(member, false);
  }

  /** Notes a host that an operator wants in the group. */
  requestAdd(member: Member): Result<boolean> {
    return this.note(member, true);
  }

  /** Removes a member on an operator's order. */
  async remove(memberId: string): Promise<Result<void>> {
    const {members} = this.host.node.status();
    if (!members.some(({id}) => id === memberId)) {
      const message = `no member has the id ${memberId}`;
      return fail(new VmuxError(ErrorCodes.NotFound, {message}));
    }
    return this.change(
      members.filter(({id}) => id !== memberId),
      `removed ${memberId}`,
    );
  }

  /** Checks the group until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS, signal);
      if (this.host.node.status().role !== RaftRole.Leader) continue;
      await this.step();
    }
  }

  private note(member: Member, byOperator: boolean): Result<boolean> {
    const status = this.host.node.status();
    if (status.role !== RaftRole.Leader) {
      const leader = status.members.find(({id}) => id === status.leaderId);
      const field = leader
        ? `${leader.address.host}:${leader.address.port}`
        : undefined;
      return fail(new VmuxError(ErrorCodes.NotLeader, {field}));
    }
    const before = this.joining.get(member.id);
    if (status.members.some(({id}) => id === member.id)) return succeed(true);
    this.joining.set(member.id, {
      member,
      seenMs: monotonicMs(),
      // The host asks again and again; that must not undo the operator's word.
      byOperator: byOperator || before?.byOperator === true,
    });
    return succeed(true);
  }

  /** Makes at most one change. */
  private async step(): Promise<void> {
    this.forgetOldRequests();
    const {members} = this.host.node.status();
    const ready = members.find(member => this.isReadyLearner(member));
    if (ready) {
      await this.change(
        members.map(member =>
          member.id === ready.id ? {...member, role: MemberRole.Voter} : member,
        ),
        `promoted ${ready.id}`,
      );
      return;
    }
    const replaced = members.find(member => this.isReplaced(member));
    if (replaced) {
      await this.change(
        members.filter(({id}) => id !== replaced.id),
        `removed ${replaced.id}, which was replaced`,
      );
      return;
    }
    const joiner = this.findJoiner(members);
    if (joiner) {
      await this.change(
        [...members, {...joiner, role: MemberRole.Learner}],
        `added ${joiner.id} as learner`,
      );
    }
  }

  private isReadyLearner(member: Member): boolean {
    if (member.role !== MemberRole.Learner) return false;
    const {members, lastIndex} = this.host.node.status();
    const status = members.find(({id}) => id === member.id);
    if ((status?.silentMs ?? Infinity) > ALIVE_MS) return false;
    return lastIndex - (status?.matchIndex ?? 0) <= CAUGHT_UP_ENTRIES;
  }

  /** A silent voter goes once the group is larger than declared. */
  private isReplaced(member: Member): boolean {
    if (member.role !== MemberRole.Voter) return false;
    const {members} = this.host.node.status();
    const voters = members.filter(({role}) => role === MemberRole.Voter);
    if (voters.length <= this.leastVoters) return false;
    const reborn = voters.some(
      ({id, hostId}) => hostId === member.hostId && id !== member.id,
    );
    const status = members.find(({id}) => id === member.id);
    const silentMs = status?.silentMs ?? 0;
    if (reborn) return silentMs > ALIVE_MS;
    if (this.isElastic) return silentMs > SILENT_VOTER_MS;
    return silentMs > this.host.settings.replaceAfterMs;
  }

  private findJoiner(members: readonly Member[]): Member | undefined {
    for (const {member, byOperator} of this.joining.values()) {
      if (members.some(({id}) => id === member.id)) continue;
      if (this.isElastic && members.length < MAX_VOTERS) return member;
      const reborn = members.some(({hostId}) => hostId === member.hostId);
      if (byOperator || reborn || this.hasLostVoter()) return member;
    }
    return undefined;
  }

  private hasLostVoter(): boolean {
    const {members} = this.host.node.status();
    const voters = members.filter(({role}) => role === MemberRole.Voter);
    if (voters.length > this.leastVoters) return false;
    const {replaceAfterMs} = this.host.settings;
    return voters.some(({silentMs}) => (silentMs ?? 0) > replaceAfterMs);
  }

  /** Whether the group takes in whoever asks. */
  private get isElastic(): boolean {
    return this.host.settings.discovery !== undefined;
  }

  /** Number of voters at and below which none is removed. */
  private get leastVoters(): number {
    return this.isElastic ? MIN_VOTERS : this.host.settings.group.length;
  }

  private forgetOldRequests(): void {
    for (const [id, {seenMs}] of this.joining) {
      if (monotonicMs() - seenMs > JOIN_TTL_MS) this.joining.delete(id);
    }
  }

  private async change(
    members: readonly Member[],
    reason: string,
  ): Promise<Result<void>> {
    const plain = members.map(({id, hostId, failureDomain, address, role}) => ({
      id,
      hostId,
      failureDomain,
      address,
      role,
    }));
    const result = await this.host.node.changeMembers(plain);
    if (result.ok) {
      this.host.timeline.add(EventKind.MemberChanged, reason);
      log.info('Changed the members.', {reason});
    } else {
      log.warn('Could not change the members.', {reason: result.error.message});
    }
    return result;
  }
}
