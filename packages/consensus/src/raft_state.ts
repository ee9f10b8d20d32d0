import {monotonicMs} from '@vanillamux/shared';
import type {Member} from './member.js';
import {MemberRole} from './member_role.js';
import type {RaftLog} from './raft_log.js';
import {RaftRole} from './raft_role.js';
import type {Ballot, RaftStorage} from './raft_storage.js';

/** The variables of one member, shared by its tasks. */
export class RaftState {
  role = RaftRole.Follower;
  leaderId?: string;
  commitIndex: number;
  /**
   * When a leader was last heard. A restarted member counts as having heard
   * one, because it may have supported a leader's lease before it stopped.
   */
  lastLeaderContactMs = monotonicMs();
  private ballot: Ballot;

  constructor(
    readonly selfId: string,
    readonly log: RaftLog,
    readonly storage: RaftStorage,
    ballot: Ballot,
    /**
     * Runs at once when the role changes. A stream would deliver it later, and
     * a deposed leader could append in between.
     */
    private readonly onRoleChange: (role: RaftRole) => void,
  ) {
    this.ballot = ballot;
    this.commitIndex = log.baseIndex;
  }

  get term(): number {
    return this.ballot.term;
  }

  get votedFor(): string | undefined {
    return this.ballot.votedFor;
  }

  /** The present term and vote. */
  currentBallot(): Ballot {
    return this.ballot;
  }

  get members(): readonly Member[] {
    return this.log.membership().members;
  }

  /** Voting members. */
  get voters(): Member[] {
    return this.members.filter(({role}) => role === MemberRole.Voter);
  }

  get isVoter(): boolean {
    return this.voters.some(({id}) => id === this.selfId);
  }

  /** Stores a new ballot; durable after the next sync. */
  setBallot(ballot: Ballot): void {
    this.ballot = ballot;
    this.storage.appendBallot(ballot);
  }

  /** Moves to a later term as a follower. */
  enterTerm(term: number): void {
    if (term > this.term) this.setBallot({term});
    this.become(RaftRole.Follower);
  }

  /** Changes the role and tells the node. */
  become(role: RaftRole): void {
    if (this.role === role) return;
    this.role = role;
    if (role !== RaftRole.Follower) this.leaderId = undefined;
    if (role === RaftRole.Leader) this.leaderId = this.selfId;
    this.onRoleChange(role);
  }
}
