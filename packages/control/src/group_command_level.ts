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

/**
 * Time for a member whose level is recorded, some round trips between failure
 * domains: without an answer it counts as recorded, so orders don't wait for one
 * that is down.
 */
const RECORDED_TIMEOUT_MS = 150;
/** Time for a member on a busy host whose level isn't known without an answer. */
const UNKNOWN_TIMEOUT_MS = 400;

/**
 * Tells whether every member of the group knows a level of commands. A member of
 * an earlier build would ignore a command, and lack its effect in its snapshots.
 */
export class GroupCommandLevel {
  constructor(private readonly host: ControlHost) {}

  /** Fails with `NotReady` unless all members are known to know the level. */
  async require(level: CommandLevel): Promise<Result<void>> {
    const members = await this.stated();
    const unready = members.filter(
      ({commandLevel = 0}) => commandLevel < level,
    );
    if (unready.length === 0) return succeed(undefined);
    const ids = unready.map(({id}) => id).join();
    const message = `members may be of an earlier build: ${ids}`;
    return fail(new VmuxError(ErrorCodes.NotReady, {message}));
  }

  /**
   * Returns the members with the levels that they state now. One that is down
   * counts as it did: it can't become one of another build without being heard.
   */
  async stated(): Promise<Member[]> {
    const {self, node, settings} = this.host;
    const clients = new PeerClients(settings.id);
    const members = await Promise.all(
      node.status().members.map(async member => {
        const now = member.id === self.id ? self : await ask(member, clients);
        return {...member, commandLevel: (now ?? member).commandLevel};
      }),
    );
    clients.close();
    return members;
  }
}

/** Asks the host of a member; `undefined` if another or none responds. */
async function ask(
  {id, address, commandLevel}: Member,
  clients: PeerClients,
): Promise<Member | undefined> {
  const result = await clients
    .get(address)
    .call(
      (api, signal) => api.group.formation.query(undefined, {signal}),
      commandLevel === undefined ? UNKNOWN_TIMEOUT_MS : RECORDED_TIMEOUT_MS,
    );
  if (!result.ok || result.value.member.id !== id) return undefined;
  return result.value.member;
}
