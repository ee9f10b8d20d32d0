import {monotonicMs} from '@vanillamux/shared';
import type {VoteReply, VoteRequest} from './messages.js';
import {RaftRole} from './raft_role.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';

/** Answers requests for votes and pre-votes. */
export class Voter {
  constructor(
    private readonly state: RaftState,
    private readonly timing: RaftTiming,
  ) {}

  async handle(request: VoteRequest): Promise<VoteReply> {
    const {state} = this;
    if (this.supportsLeader()) return this.reply(false);
    if (request.term < state.term) return this.reply(false);
    const upToDate = this.isUpToDate(request);
    if (request.preVote) {
      return {term: state.term, granted: upToDate && state.isVoter};
    }
    if (request.term > state.term) state.enterTerm(request.term);
    const free =
      state.votedFor === undefined || state.votedFor === request.candidateId;
    const grant = upToDate && free && state.isVoter;
    if (grant && state.votedFor === undefined) {
      state.setBallot({term: request.term, votedFor: request.candidateId});
    }
    if (grant) state.leaderHeardMs = monotonicMs();
    await state.storage.sync();
    if (state.term !== request.term) return this.reply(false);
    return this.reply(grant);
  }

  /**
   * Refusing votes while a leader is heard protects its lease and keeps a
   * returning member from deposing it (Ongaro, 2014, sections 4.2.3 and 6.4).
   */
  private supportsLeader(): boolean {
    const {state} = this;
    if (state.role === RaftRole.Leader) return true;
    return monotonicMs() - state.leaderHeardMs < this.timing.electionMinMs;
  }

  private isUpToDate({lastIndex, lastTerm}: VoteRequest): boolean {
    const {log} = this.state;
    if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm;
    return lastIndex >= log.lastIndex;
  }

  private reply(granted: boolean): VoteReply {
    return {term: this.state.term, granted};
  }
}
