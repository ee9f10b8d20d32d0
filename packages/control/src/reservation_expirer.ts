import {RaftRole} from '@vanillamux/consensus';
import {sleep} from '@vanillamux/shared';
import {CommandKind} from './command_kind.js';
import type {ExpireCommand} from './commands.js';
import type {ControlHost} from './control_host.js';
import {proposeCommand} from './propose_command.js';

const CHECK_INTERVAL_MS = 500;

/** The leader's task that ends overdue reservations. */
export class ReservationExpirer {
  constructor(private readonly host: ControlHost) {}

  /** Checks the register until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {node, stateMachine: stateMachine} = this.host;
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS, signal);
      if (node.status().role !== RaftRole.Leader) continue;
      if (!stateMachine.reservations.needsExpiry(Date.now())) continue;
      await proposeCommand<ExpireCommand, void>(node, {
        kind: CommandKind.Expire,
      });
    }
  }
}
