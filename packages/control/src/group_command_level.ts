import type {Member} from '@vanillamux/consensus';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {CommandLevel} from './command_level.js';
import type {ControlHost} from './control_host.js';
import {PeerClients} from './peer_clients.js';

/** Some round trips between failure domains. */
const CALL_TIMEOUT_MS = 150;

/**
 * Tells whether every member of the group knows a level of commands. A member of
 * an earlier build would ignore a command, and lack its effect in its snapshots.
 */
export class GroupCommandLevel {
  constructor(private readonly host: ControlHost) {}

  /** Fails with `NotReady` unless all members are known to know the level. */
  async require(level: CommandLevel): Promise<Result<void>> {
    const {members} = this.host.node.status();
    const clients = new PeerClients(this.host.settings.id);
    const levels = await Promise.all(
      members.map(member => this.levelOf(member, clients)),
    );
    clients.close();
    const unready = members.filter((_, index) => levels[index]! < level);
    if (unready.length === 0) return succeed(undefined);
    const ids = unready.map(({id}) => id).join();
    const message = `members may be of an earlier build: ${ids}`;
    return fail(new VmuxError(ErrorCodes.NotReady, {message}));
  }

  /**
   * Level that a member states now. One that is down counts as it was when it
   * joined: it can't be replaced by another build without being heard.
   */
  private async levelOf(member: Member, clients: PeerClients): Promise<number> {
    const {self} = this.host;
    if (member.id === self.id) return self.commandLevel ?? 0;
    const result = await clients
      .get(member.address)
      .call(
        (api, signal) => api.group.formation.query(undefined, {signal}),
        CALL_TIMEOUT_MS,
      );
    const isSame = result.ok && result.value.member.id === member.id;
    return (isSame ? result.value.member : member).commandLevel ?? 0;
  }
}
