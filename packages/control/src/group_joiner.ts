import {MemberRole, type Member} from '@vanillamux/consensus';
import {RpcClient} from '@vanillamux/rpc';
import {getLogger, sleep, type Address} from '@vanillamux/shared';
import type {ControlHost} from './control_host.js';
import type {ControlRouter} from './control_router.js';
import {FormationState} from './formation_state.js';

const RETRY_INTERVAL_MS = 250;
const CALL_TIMEOUT_MS = 1_000;

const log = getLogger('members');

/**
 * Brings a control host without a group into one. A new group is formed only
 * when every declared host answers that its disk is empty; as long as one of
 * them knows a group, a host with an empty disk can only join that group.
 */
export class GroupJoiner {
  private readonly clients: Array<RpcClient<ControlRouter>>;
  private hasAsked = false;

  constructor(private readonly host: ControlHost) {
    const {group, standbys} = host.settings;
    const addresses = [...group, ...standbys]
      .filter(({id}) => id !== host.settings.id)
      .map(({address}) => address);
    this.clients = addresses.map(
      (address: Address) =>
        new RpcClient<ControlRouter>({address, from: host.settings.id}),
    );
  }

  /** Returns once the host belongs to a group, or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.host.isFormed) {
      await this.tryOnce();
      if (!this.host.isFormed) await sleep(RETRY_INTERVAL_MS, signal);
    }
    for (const client of this.clients) client.close();
  }

  private async tryOnce(): Promise<void> {
    const answers = await Promise.all(
      this.clients.map(client =>
        client.call(
          (api, signal) => api.group.formation.query(undefined, {signal}),
          CALL_TIMEOUT_MS,
        ),
      ),
    );
    const known = answers.flatMap(answer => (answer.ok ? [answer.value] : []));
    if (known.some(({state}) => state === FormationState.Formed)) {
      await this.askToJoin();
      return;
    }
    const {group} = this.host.settings;
    const candidates = [this.host.self, ...known.map(({member}) => member)];
    const members = group.flatMap(({id}) =>
      candidates.filter(({hostId}) => hostId === id),
    );
    if (members.length === group.length) await this.form(members);
  }

  /** The first declared host proposes; the others accept its list. */
  private async form(members: readonly Member[]): Promise<void> {
    if (members[0]?.id !== this.host.self.id) return;
    const voters = members.map(member => ({
      ...member,
      role: MemberRole.Voter,
    }));
    const others = this.clients.filter(({address}) =>
      voters.some(
        voter =>
          voter.address.host === address.host &&
          voter.address.port === address.port,
      ),
    );
    const answers = await Promise.all(
      others.map(client =>
        client.call(
          (api, signal) => api.group.form.mutate(voters, {signal}),
          CALL_TIMEOUT_MS,
        ),
      ),
    );
    if (answers.some(answer => !answer.ok)) {
      log.warn('Not every host accepted the new group; trying again.');
    }
    await this.host.form(voters);
  }

  private async askToJoin(): Promise<void> {
    const {self} = this.host;
    for (const client of this.clients) {
      const result = await client.call(
        (api, signal) => api.group.join.mutate(self, {signal}),
        CALL_TIMEOUT_MS,
      );
      if (result.ok) {
        if (!this.hasAsked) log.info('Asked the leader to join the group.');
        this.hasAsked = true;
        return;
      }
    }
  }
}
