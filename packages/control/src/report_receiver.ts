import {PresenceState, type Presence} from '@vanillamux/protocol';
import {getLogger} from '@vanillamux/shared';
import type {BackendRegistry} from './backend_registry.js';
import type {ControlHost} from './control_host.js';
import {followsLeader} from './follows_leader.js';
import {ReportVerdict} from './report_verdict.js';

const log = getLogger('backends');

/**
 * Takes what backend servers say of themselves, and decides whether to
 * acknowledge it. A backend server that leaves relies on the acknowledgement:
 * entry hosts stop sending requests to it. They all poll the members of the group,
 * so a host that is none, or does not know, promises nothing.
 */
export class ReportReceiver {
  constructor(
    private readonly host: Pick<ControlHost, 'node' | 'self'>,
    private readonly registry: BackendRegistry,
    /** Aborts when this host begins to leave its group. */
    private readonly leaving: AbortSignal,
  ) {}

  /** Applies a heartbeat. */
  receive(report: Presence): ReportVerdict {
    this.registry.receive(report);
    if (report.state === PresenceState.Ready) return ReportVerdict.Accepted;
    return this.judgeDeparture(report.id, report.state);
  }

  /** Marks an incarnation as gone at its own request. */
  deregister(id: string, incarnation?: number): ReportVerdict {
    if (!this.registry.deregister(id, incarnation))
      return ReportVerdict.Unknown;
    return this.judgeDeparture(id, PresenceState.Gone);
  }

  private judgeDeparture(id: string, state: PresenceState): ReportVerdict {
    const {node, self} = this.host;
    const status = node.status();
    const isMember = status.members.some(member => member.id === self.id);
    const isStopping = this.leaving.aborted;
    if (isMember && followsLeader(status) && !isStopping)
      return ReportVerdict.Accepted;
    log.info('Did not acknowledge that a backend server leaves.', {
      backend: id,
      state,
      isMember,
      isStopping,
      leaderSilentMs: Math.round(status.leaderSilentMs),
      isCurrent: status.isCurrent,
    });
    return ReportVerdict.NotHeard;
  }
}
