import {randomInt} from 'node:crypto';
import {monotonicMs, sleep} from '@vanillamux/shared';
import type {VoteReply} from './messages.js';
import {quorumOf} from './quorum_of.js';
import {RaftRole} from './raft_role.js';
import type {RaftState} from './raft_state.js';
import type {RaftTiming} from './raft_timing.js';
import type {RaftTransport} from './raft_transport.js';

/** Starts elections when no leader is heard. */
export class Elector {
  constructor(
    private readonly state: RaftState,
    private readonly transport: RaftTransport,
    private readonly timing: RaftTiming,
    private readonly onElected: () => void,
  ) {}

  /** Watches for a missing leader until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const timeoutMs = this.drawTimeout();
      const silentMs = monotonicMs() - this.state.leaderHeardMs;
      await sleep(Math.max(timeoutMs - silentMs, this.idleMs()), signal);
      if (signal.aborted) return;
      if (this.mayCampaign(timeoutMs)) await this.campaign(signal);
    }
  }

  /** Runs a pre-vote and, if it is won, an election. */
  async campaign(signal: AbortSignal): Promise<void> {
    const {state} = this;
    const preTerm = state.term;
    if (!(await this.collect(preTerm + 1, true))) {
      await sleep(this.timing.heartbeatMs, signal);
      return;
    }
    if (signal.aborted || state.term !== preTerm) return;
    if (state.role === RaftRole.Leader) return;
    state.become(RaftRole.Candidate);
    const term = preTerm + 1;
    state.setBallot({term, votedFor: state.selfId});
    await state.storage.sync();
    const won = await this.collect(term, false);
    if (signal.aborted || state.term !== term) return;
    if (state.role !== RaftRole.Candidate) return;
    if (!won) {
      state.become(RaftRole.Follower);
      await sleep(this.drawTimeout() - this.timing.electionMinMs, signal);
      return;
    }
    this.onElected();
  }

  /** Least wait: leaders and learners only look whether that has changed. */
  private idleMs(): number {
    const {isVoter, role} = this.state;
    const idle = !isVoter || role === RaftRole.Leader;
    return idle ? this.timing.heartbeatMs : 0;
  }

  private mayCampaign(timeoutMs: number): boolean {
    const {state} = this;
    if (!state.isVoter || state.role === RaftRole.Leader) return false;
    return monotonicMs() - state.leaderHeardMs >= timeoutMs;
  }

  private drawTimeout(): number {
    const {electionMinMs, electionMaxMs} = this.timing;
    return randomInt(electionMinMs, electionMaxMs + 1);
  }

  /** Whether a quorum grants the vote; resolves as soon as that is settled. */
  private collect(term: number, preVote: boolean): Promise<boolean> {
    const {state} = this;
    const request = {
      term,
      candidateId: state.selfId,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      preVote,
    };
    const needed = quorumOf(state.members);
    const peers = state.voters.filter(({id}) => id !== state.selfId);
    return new Promise(resolve => {
      let granted = 1;
      let answered = 0;
      if (granted >= needed) resolve(true);
      const count = (reply?: VoteReply) => {
        answered++;
        if (reply && reply.term > state.term) state.enterTerm(reply.term);
        if (reply?.granted) granted++;
        if (granted >= needed) resolve(true);
        else if (answered === peers.length) resolve(false);
      };
      for (const peer of peers) {
        void this.transport
          .vote(peer, request, this.timing.callTimeoutMs)
          .then(result => count(result.ok ? result.value : undefined));
      }
    });
  }
}
