import {MemberRole, RaftRole, type Member} from '@vanillamux/consensus';
import {
  ErrorCodes,
  formatAddress,
  getLogger,
  parseAddress,
  sleep,
  type Address,
} from '@vanillamux/shared';
import type {ControlHost} from './control_host.js';
import {FormationState} from './formation_state.js';
import {PeerClients} from './peer_clients.js';

const RETRY_INTERVAL_MS = 250;
const CALL_TIMEOUT_MS = 1_000;
/** A member that hears no leader for so long asks whether it still is one. */
const LEADERLESS_MS = 3_000;

const log = getLogger('members');

/**
 * Brings a control host into a group and back into one that has removed it. A
 * new group is formed only when every founder answers that its disk is empty;
 * as long as one of them knows a group, a host with an empty disk can only join
 * that group.
 */
export class GroupJoiner {
  private readonly clients: PeerClients;
  private readonly known = new Map<string, Address>();
  private hasAsked = false;

  constructor(private readonly host: ControlHost) {
    this.clients = new PeerClients(host.settings.id);
    for (const address of host.founderAddresses()) this.learn(address);
    for (const {address} of host.settings.standbys) this.learn(address);
  }

  /** Returns once the host belongs to a group, or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.host.isFormed) {
      await this.tryOnce();
      if (!this.host.isFormed) await sleep(RETRY_INTERVAL_MS, signal);
    }
  }

  /** Asks to be added again whenever the group has gone on without the host. */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(LEADERLESS_MS, signal);
      const {role, leaderSilentMs, members} = this.host.node.status();
      for (const {address} of members) this.learn(address);
      if (role === RaftRole.Leader || leaderSilentMs < LEADERLESS_MS) continue;
      if (!signal.aborted) await this.askToJoin();
    }
    this.close();
  }

  /** Closes the connections to other hosts. */
  close(): void {
    this.clients.close();
  }

  private async tryOnce(): Promise<void> {
    const answers = await Promise.all(
      [...this.known.values()].map(address =>
        this.clients
          .get(address)
          .call(
            (api, signal) => api.group.formation.query(undefined, {signal}),
            CALL_TIMEOUT_MS,
          ),
      ),
    );
    const known = answers.flatMap(answer => (answer.ok ? [answer.value] : []));
    for (const answer of known) answer.known.forEach(at => this.learn(at));
    if (known.some(({state}) => state === FormationState.Formed)) {
      await this.askToJoin();
      return;
    }
    const founders = this.host.founders([this.host.formation(), ...known]);
    if (founders) await this.form(founders);
  }

  /** The first founder proposes; the others accept its list. */
  private async form(members: readonly Member[]): Promise<void> {
    if (members[0]?.id !== this.host.self.id) return;
    const voters = members.map(member => ({
      ...member,
      role: MemberRole.Voter,
    }));
    const answers = await Promise.all(
      voters
        .filter(({id}) => id !== this.host.self.id)
        .map(({address}) =>
          this.clients
            .get(address)
            .call(
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

  /** Asks every known host, and the leader that one of them names. */
  private async askToJoin(): Promise<void> {
    const asked = new Set<string>();
    const waiting = [...this.known.values()];
    for (const address of waiting) {
      const key = formatAddress(address);
      if (asked.has(key)) continue;
      asked.add(key);
      const result = await this.clients
        .get(address)
        .call(
          (api, signal) => api.group.join.mutate(this.host.self, {signal}),
          CALL_TIMEOUT_MS,
        );
      if (result.ok) {
        if (!this.hasAsked) log.info('Asked the leader to join the group.');
        this.hasAsked = true;
        return;
      }
      const {code, field} = result.error;
      if (code === ErrorCodes.NotLeader && field) {
        waiting.push(parseAddress(field));
      }
    }
  }

  private learn(address: Address): void {
    if (formatAddress(address) === formatAddress(this.host.self.address))
      return;
    this.known.set(formatAddress(address), address);
  }
}
