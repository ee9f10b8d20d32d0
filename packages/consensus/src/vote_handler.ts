import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {VoteReply, VoteRequest} from './messages.js';
import {RaftRole} from './raft_role.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';

const log = getLogger('consensus');

/**
 * Handles requests for votes and pre-votes. A member votes whatever its own log
 * says of its role: it may have been promoted without knowing it yet, and the
 * candidate counts the votes of voters only (Ongaro, 2014, section 4.1).
 */
export class VoteHandler {
  constructor(
    private readonly state: RaftState,
    private readonly timing: RaftTiming,
  ) {}

  async handle(request: VoteRequest): Promise<VoteReply> {
    const {state} = this;
    if (this.hasActiveLeader()) return this.createReply(false);
    if (request.term < state.term) return this.createReply(false);
    const isUpToDate = this.isLogUpToDate(request);
    if (!isUpToDate) this.reportRefusal(request);
    if (request.preVote) return this.createReply(isUpToDate);
    if (request.term > state.term) state.enterTerm(request.term);
    const isVoteAvailable =
      state.votedFor === undefined || state.votedFor === request.candidateId;
    const isGranted = isUpToDate && isVoteAvailable;
    if (isGranted && state.votedFor === undefined) {
      state.setBallot({term: request.term, votedFor: request.candidateId});
    }
    if (isGranted) state.lastLeaderContactMs = monotonicMs();
    await state.storage.sync();
    if (state.term !== request.term) return this.createReply(false);
    return this.createReply(isGranted);
  }

  /**
   * Whether a leader is known to be active. Refusing votes meanwhile protects
   * the lease of that leader and keeps a returning member from deposing it
   * (Ongaro, 2014, sections 4.2.3 and 6.4).
   */
  private hasActiveLeader(): boolean {
    const {state} = this;
    if (state.role === RaftRole.Leader) return true;
    return (
      monotonicMs() - state.lastLeaderContactMs < this.timing.electionMinMs
    );
  }

  private isLogUpToDate({lastIndex, lastTerm}: VoteRequest): boolean {
    const {log} = this.state;
    if (lastTerm !== log.lastTerm) return lastTerm > log.lastTerm;
    return lastIndex >= log.lastIndex;
  }

  private reportRefusal(request: VoteRequest): void {
    const {state} = this;
    const {candidateId, term, preVote, lastIndex, lastTerm} = request;
    log.info('Refused a vote.', {
      candidate: candidateId,
      term,
      preVote,
      candidateLastIndex: lastIndex,
      candidateLastTerm: lastTerm,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
    });
  }

  private createReply(granted: boolean): VoteReply {
    return {term: this.state.term, granted};
  }
}
