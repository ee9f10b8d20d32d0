import {randomInt} from 'node:crypto';
import {getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import type {Member} from './member.js';
import type {VoteReply} from './messages.js';
import {quorumOf} from './quorum_of.js';
import {RaftRole} from './raft_role.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';

const log = getLogger('consensus');

/** Starts elections after an election timeout without leader contact. */
export class ElectionManager {
  /** Until then, this member starts no election. */
  private delayedUntilMs = -Infinity;

  constructor(
    private readonly state: RaftState,
    private readonly transport: RaftTransport,
    private readonly timing: RaftTiming,
    private readonly onElected: () => void,
  ) {}

  /** Checks for a missing leader until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const timeoutMs = this.randomTimeoutMs();
      const silentMs = monotonicMs() - this.state.lastLeaderContactMs;
      await sleep(Math.max(timeoutMs - silentMs, this.minWaitMs()), signal);
      if (signal.aborted) return;
      if (this.shouldCampaign(timeoutMs)) await this.campaign(signal);
    }
  }

  /** Starts no election for a time. */
  delay(ms: number): void {
    this.delayedUntilMs = monotonicMs() + ms;
  }

  /** Runs a pre-vote and, if it is won, an election. */
  async campaign(signal: AbortSignal): Promise<void> {
    const {state} = this;
    const preVoteTerm = state.term;
    if (!(await this.requestVotes(preVoteTerm + 1, true))) {
      await sleep(this.timing.heartbeatMs, signal);
      return;
    }
    if (signal.aborted || state.term !== preVoteTerm) return;
    if (state.role === RaftRole.Leader) return;
    state.become(RaftRole.Candidate);
    const term = preVoteTerm + 1;
    state.setBallot({term, votedFor: state.selfId});
    await state.storage.sync();
    const isElected = await this.requestVotes(term, false);
    if (signal.aborted || state.term !== term) return;
    if (state.role !== RaftRole.Candidate) return;
    if (!isElected) {
      state.become(RaftRole.Follower);
      await sleep(this.randomTimeoutMs() - this.timing.electionMinMs, signal);
      return;
    }
    this.onElected();
  }

  /**
   * Returns the minimum wait between two checks. Leaders, learners and members
   * that have resigned start no election and only check whether that has changed.
   */
  private minWaitMs(): number {
    const {isVoter, role} = this.state;
    const isDelayed = monotonicMs() < this.delayedUntilMs;
    const isIdle = !isVoter || role === RaftRole.Leader || isDelayed;
    return isIdle ? this.timing.heartbeatMs : 0;
  }

  private shouldCampaign(timeoutMs: number): boolean {
    const {state} = this;
    if (!state.isVoter || state.role === RaftRole.Leader) return false;
    if (monotonicMs() < this.delayedUntilMs) return false;
    return monotonicMs() - state.lastLeaderContactMs >= timeoutMs;
  }

  private randomTimeoutMs(): number {
    const {electionMinMs, electionMaxMs} = this.timing;
    return randomInt(electionMinMs, electionMaxMs + 1);
  }

  /**
   * Requests votes from all voters. Resolves to true as soon as a quorum has
   * granted the vote, or to false when all calls have ended without one.
   */
  private requestVotes(term: number, preVote: boolean): Promise<boolean> {
    const {state} = this;
    const request = {
      term,
      candidateId: state.selfId,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      preVote,
    };
    const quorum = quorumOf(state.members);
    const peers = state.voters.filter(({id}) => id !== state.selfId);
    return new Promise(resolve => {
      let grantedVotes = 1;
      let endedCalls = 0;
      const replies = new Map<string, VoteReply | undefined>();
      if (grantedVotes >= quorum) resolve(true);
      const countReply = (peer: Member, reply?: VoteReply) => {
        endedCalls++;
        replies.set(peer.id, reply);
        if (reply && reply.term > state.term) state.enterTerm(reply.term);
        if (reply?.granted) grantedVotes++;
        if (grantedVotes >= quorum) resolve(true);
        else if (endedCalls === peers.length) {
          this.reportFailure(term, preVote, replies);
          resolve(false);
        }
      };
      for (const peer of peers) {
        void this.transport
          .vote(peer, request, this.timing.callTimeoutMs)
          .then(result =>
            countReply(peer, result.ok ? result.value : undefined),
          );
      }
    });
  }

  /** Names the members that granted and refused the vote, or did not reply. */
  private reportFailure(
    term: number,
    preVote: boolean,
    replies: ReadonlyMap<string, VoteReply | undefined>,
  ): void {
    const namesOf = (verdict?: boolean): string =>
      [...replies]
        .filter(([, reply]) => reply?.granted === verdict)
        .map(([id]) => id)
        .join();
    log.info('Too few votes for an election.', {
      term,
      preVote,
      voters: replies.size + 1,
      granted: namesOf(true),
      refused: namesOf(false),
      silent: namesOf(),
    });
  }
}
