import {isDeepStrictEqual} from 'node:util';
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
import type {FormationStatus} from './formation_status.js';
import {PeerClients} from './peer_clients.js';

const RETRY_DELAY_MS = 250;
const CALL_TIMEOUT_MS = 1_000;
/** Silence of the leader after which a member asks to be added again. */
const LEADER_SILENCE_MS = 3_000;
/** Interval at which a member checks for that, and asks again. */
const CHECK_INTERVAL_MS = 1_000;

const log = getLogger('members');

/**
 * Joins a control host to a group, or forms a new one, and rejoins a group that
 * has removed the host. A new group is formed only when every initial member
 * reports that it knows no group, and a majority that the system starts for the
 * first time; while one of them knows a group, a host with an empty
 * disk can only join that group.
 */
export class GroupJoiner {
  private readonly clients: PeerClients;
  private readonly knownAddresses = new Map<string, Address>();
  private hasRequestedJoin = false;
  /** Counts of the last line about a group that can't be formed yet. */
  private loggedCounts?: object;

  constructor(private readonly host: ControlHost) {
    this.clients = new PeerClients(host.settings.id);
    for (const address of host.initialMemberAddresses())
      this.addAddress(address);
    for (const {address} of host.settings.standbys) this.addAddress(address);
  }

  /** Retries until the host belongs to a group or `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.host.hasGroup) {
      await this.joinOrFormGroup();
      if (!this.host.hasGroup) await sleep(RETRY_DELAY_MS, signal);
    }
  }

  /**
   * Asks to be added again after a start, because a host that stops may have
   * left the group; a member is not added twice.
   */
  async rejoinAfterStart(): Promise<void> {
    for (const {address} of this.host.node.status().members)
      this.addAddress(address);
    const addresses = [...this.knownAddresses.values()];
    await Promise.all(addresses.map(address => this.askToJoin(address)));
  }

  /**
   * Asks to be added again whenever no leader is heard, because the group may
   * have removed this host.
   */
  async rejoinWhenRemoved(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(CHECK_INTERVAL_MS, signal);
      const {role, leaderSilentMs, members, term, commitIndex, lastIndex} =
        this.host.node.status();
      for (const {address} of members) this.addAddress(address);
      if (role === RaftRole.Leader || leaderSilentMs < LEADER_SILENCE_MS)
        continue;
      if (signal.aborted) break;
      log.warn('No leader is known; asking to be added again.', {
        leaderSilentMs: Math.round(leaderSilentMs),
        term,
        commitIndex,
        lastIndex,
        members: members.map(({id, role}) => `${id} ${role}`).join(),
      });
      const addresses = [...this.knownAddresses.values()];
      await Promise.all(addresses.map(address => this.askToJoin(address)));
    }
    this.close();
  }

  /** Closes the connections to other hosts. */
  close(): void {
    this.clients.close();
  }

  private async joinOrFormGroup(): Promise<void> {
    const statuses: FormationStatus[] = [];
    // A host that is gone costs a timeout, which must not delay the others.
    await Promise.all(
      [...this.knownAddresses.values()].map(async address => {
        const status = await this.readFormation(address);
        if (!status) return;
        statuses.push(status);
        status.known.forEach(known => this.addAddress(known));
        if (status.state === FormationState.Formed)
          await this.askToJoin(address);
      }),
    );
    if (statuses.some(({state}) => state === FormationState.Formed)) return;
    statuses.push(this.host.formationStatus());
    const initialMembers = this.host.findInitialMembers(statuses);
    if (initialMembers) await this.formGroup(initialMembers);
    else this.logWaiting(statuses);
  }

  private logWaiting(statuses: readonly FormationStatus[]): void {
    const founders = statuses.filter(({mayFound}) => mayFound).length;
    const counts = {reports: statuses.length, founders};
    if (isDeepStrictEqual(counts, this.loggedCounts)) return;
    this.loggedCounts = counts;
    log.info('Waiting until a group can be formed.', counts);
  }

  private async readFormation(
    address: Address,
  ): Promise<FormationStatus | undefined> {
    const result = await this.clients
      .get(address)
      .call(
        (api, signal) => api.group.formation.query(undefined, {signal}),
        CALL_TIMEOUT_MS,
      );
    return result.ok ? result.value : undefined;
  }

  /**
   * Forms the group, on the first of the members only. It stores the list of
   * members before it sends it to the others: if it is killed between, it must not
   * form another group.
   */
  private async formGroup(members: readonly Member[]): Promise<void> {
    if (members[0]?.id !== this.host.self.id) return;
    const voters = members.map(member => ({
      ...member,
      role: MemberRole.Voter,
    }));
    await this.host.formGroup(voters);
    const results = await Promise.all(
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
    if (results.some(result => !result.ok)) {
      log.warn('Not every host accepted the members of the new group.');
    }
  }

  /** Asks a host to join, and the leader that it names, if it does. */
  private async askToJoin(address: Address, isLeader = false): Promise<void> {
    const result = await this.clients
      .get(address)
      .call(
        (api, signal) => api.group.join.mutate(this.host.self, {signal}),
        CALL_TIMEOUT_MS,
      );
    if (result.ok) {
      if (!this.hasRequestedJoin)
        log.info('Asked the leader to join the group.');
      this.hasRequestedJoin = true;
      return;
    }
    const {code, field} = result.error;
    if (code !== ErrorCodes.NotLeader || !field || isLeader) return;
    const leader = parseAddress(field);
    this.addAddress(leader);
    await this.askToJoin(leader, true);
  }

  private addAddress(address: Address): void {
    if (formatAddress(address) === formatAddress(this.host.self.address))
      return;
    this.knownAddresses.set(formatAddress(address), address);
  }
}
