import {RaftRole} from '@vanillamux/consensus';
import {
  ErrorCodes,
  getLogger,
  monotonicMs,
  sleep,
  type Result,
} from '@vanillamux/shared';
import type {ControlHost} from './control_host.js';
import {LeaveVerdict} from './leave_verdict.js';
import type {MembershipManager} from './membership_manager.js';
import {PeerClients} from './peer_clients.js';

/** Covers the catch-up of a learner, an election and a change of members. */
const LEAVE_TIMEOUT_MS = 3_000;
const CALL_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 50;

const log = getLogger('members');

/**
 * Takes a control host that stops out of its group. Otherwise a host that was
 * replaced remains a voter until its silence has lasted, and with an even number
 * of voters the loss of one more would then leave no majority.
 */
export class GroupLeaver {
  private readonly clients: PeerClients;

  constructor(
    private readonly host: ControlHost,
    private readonly membershipManager: MembershipManager,
  ) {
    this.clients = new PeerClients(host.settings.id);
  }

  /** Waits until the host has left, stays a member, or the time is over. */
  async leave(): Promise<void> {
    if (!this.membershipManager.mayLeave) return;
    const startedMs = monotonicMs();
    let verdict = LeaveVerdict.Pending;
    while (verdict === LeaveVerdict.Pending) {
      const result = await this.ask();
      verdict = result.ok ? result.value : LeaveVerdict.Pending;
      if (verdict !== LeaveVerdict.Pending) break;
      if (monotonicMs() - startedMs > LEAVE_TIMEOUT_MS) break;
      await sleep(RETRY_DELAY_MS);
    }
    this.clients.close();
    log.info('Asked to leave the group.', {
      verdict,
      elapsedMs: Math.round(monotonicMs() - startedMs),
    });
  }

  private async ask(): Promise<Result<LeaveVerdict>> {
    const {node, self} = this.host;
    const {members, leaderId, role} = node.status();
    const own = this.membershipManager.requestLeave(self.id);
    if (own.ok || own.error.code !== ErrorCodes.NotLeader) {
      // A leader is not removed by itself: if it ended before that is
      // committed, no other member might win an election.
      const mayResign = own.ok && own.value === LeaveVerdict.Pending;
      if (mayResign && this.membershipManager.canRemoveVoter) node.resign();
      return own;
    }
    const leader = members.find(({id}) => id === leaderId);
    if (!leader || role !== RaftRole.Follower) return own;
    return this.clients
      .get(leader.address)
      .call(
        (api, signal) => api.group.leave.mutate({memberId: self.id}, {signal}),
        CALL_TIMEOUT_MS,
      );
  }
}
