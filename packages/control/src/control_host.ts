import {
  MemberRole,
  RaftNode,
  RaftStorage,
  RpcTransport,
  type Member,
  type RecoveredState,
  type Snapshot,
} from '@vanillamux/consensus';
import {
  EventKind,
  formatAddress,
  getLogger,
  invariant,
  succeed,
  Timeline,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {NodeDisk} from '@vanillamux/storage';
import {join} from 'node:path';
import {CommandLevel} from './command_level.js';
import {ControlState} from './control_state.js';
import type {ControlSettings} from './control_settings.js';
import type {DiskIdentity} from './disk_identity.js';
import type {FormationStatus} from './formation_status.js';
import {FormationState} from './formation_state.js';
import {loadDiskIdentity} from './load_disk_identity.js';
import {RecordStore} from './record_store.js';

const GROUP_FOLDER = 'group';
const RECORD_FOLDER = 'record';

const log = getLogger('control');

/** A control host's Raft node, state machine, record store and timeline. */
export class ControlHost {
  readonly stateMachine = new ControlState();
  readonly timeline: Timeline;
  readonly node: RaftNode;
  /** Pending write of the initial members. */
  private formation?: Promise<void>;

  private constructor(
    readonly settings: ControlSettings,
    readonly self: Member,
    readonly record: RecordStore,
    private readonly recovered: RecoveredState,
    private readonly identity: DiskIdentity,
  ) {
    this.timeline = new Timeline({
      host: settings.id,
      failureDomain: settings.failureDomain,
    });
    this.node = new RaftNode({
      selfId: self.id,
      recovered,
      transport: new RpcTransport(settings.id),
      stateMachine: this.stateMachine,
      snapshotEntries: settings.snapshotEntries,
    });
    this.recordEvents();
  }

  /** Opens the data folder. Fails on an unusable folder or a corrupt log. */
  static async open(settings: ControlSettings): Promise<Result<ControlHost>> {
    const {dataFolder, syncDelayMs} = settings;
    const groupDisk = await NodeDisk.openFolder(
      join(dataFolder, GROUP_FOLDER),
      {syncDelayMs},
    );
    if (!groupDisk.ok) return groupDisk;
    const recordDisk = await NodeDisk.openFolder(
      join(dataFolder, RECORD_FOLDER),
      {syncDelayMs},
    );
    if (!recordDisk.ok) return recordDisk;
    const {discovery, id} = settings;
    const identity = await loadDiskIdentity(
      groupDisk.value,
      discovery?.bootstrap ?? false,
    );
    if (!identity.ok) return identity;
    const recovered = await RaftStorage.open(groupDisk.value);
    if (!recovered.ok) return recovered;
    const record = await RecordStore.open(recordDisk.value);
    if (!record.ok) return record;
    const self: Member = {
      id: `${id}/${identity.value.diskId}`,
      hostId: id,
      failureDomain: settings.failureDomain,
      address: settings.advertise ?? settings.listen,
      role: MemberRole.Voter,
      commandLevel: CommandLevel.Evacuate,
    };
    const {log: raftLog, ballot} = recovered.value;
    log.info('Opened the data folder.', {
      member: self.id,
      members: raftLog.membership().members.length,
      baseIndex: raftLog.baseIndex,
      lastIndex: raftLog.lastIndex,
      term: ballot.term,
    });
    return succeed(
      new ControlHost(
        settings,
        self,
        record.value,
        recovered.value,
        identity.value,
      ),
    );
  }

  /** Whether this host knows its group, from formation or from a leader. */
  get hasGroup(): boolean {
    return this.node.status().members.length > 0;
  }

  /** Describes this host to those that form or join a group. */
  formationStatus(): FormationStatus {
    const state = this.hasGroup ? FormationState.Formed : FormationState.Empty;
    const {mayFound = false} = this.identity;
    return {
      state,
      member: this.self,
      mayFound: this.settings.discovery ? mayFound && this.isSeed : true,
      known: this.node.status().members.map(({address}) => address),
    };
  }

  /** Returns the addresses of the hosts that may form a new group. */
  initialMemberAddresses(): Address[] {
    const {group, discovery} = this.settings;
    if (!discovery) return group.map(({address}) => address);
    return discovery.seeds.map(({host}) => ({host, port: discovery.peerPort}));
  }

  /**
   * Returns the initial members of a new group from the reports of hosts that
   * know no group, or `undefined` if it can't be formed. Every host that may form
   * the group has to report, and a majority that they may found it: the rest may
   * have ended before they stored that they may. A quorum of an earlier group
   * would have left no such majority.
   */
  findInitialMembers(
    statuses: readonly FormationStatus[],
  ): Member[] | undefined {
    const addresses = this.initialMemberAddresses();
    const reports = addresses.flatMap(address => {
      const report = statuses.find(
        ({member}) => formatAddress(member.address) === formatAddress(address),
      );
      return report ? [report] : [];
    });
    const founders = reports.filter(({mayFound}) => mayFound);
    const isComplete = reports.length === addresses.length;
    const hasQuorum = founders.length > addresses.length / 2;
    return isComplete && hasQuorum
      ? reports.map(({member}) => member)
      : undefined;
  }

  private get isSeed(): boolean {
    const ownAddress = formatAddress(this.self.address);
    return this.initialMemberAddresses().some(
      address => formatAddress(address) === ownAddress,
    );
  }

  /** Stores the initial members durably, unless the host knows a group. */
  async formGroup(members: readonly Member[]): Promise<void> {
    if (this.hasGroup) return;
    invariant(
      members.some(({id}) => id === this.self.id),
      'a host forms only groups that it belongs to',
    );
    this.formation ??= this.storeInitialMembers(members).finally(() => {
      this.formation = undefined;
    });
    await this.formation;
  }

  /** Stops the Raft node and closes the files. */
  async close(): Promise<void> {
    await this.node.stop();
    await this.record.close();
  }

  private async storeInitialMembers(members: readonly Member[]): Promise<void> {
    const initialSnapshot: Snapshot = {index: 0, term: 0, members, state: ''};
    await this.recovered.storage.saveSnapshot(initialSnapshot);
    this.recovered.log.compact(initialSnapshot);
    log.info('Formed the group.', {members: members.length});
  }

  private recordEvents(): void {
    void this.node.roles().observe(role => {
      const {term} = this.node.status();
      const kind =
        role === 'leader' ? EventKind.LeaderElected : EventKind.LeaderLost;
      if (role !== 'candidate') {
        this.timeline.add(kind, `${role} in term ${term}`);
      }
    });
    void this.stateMachine.declaredVersions
      .stream()
      .observe(version =>
        this.timeline.add(EventKind.Declared, `version ${version}`),
      );
    const {evacuation} = this.stateMachine;
    void evacuation.revisions.stream().observe(revision => {
      const emptied = evacuation.view.failureDomains.join(', ') || 'none';
      const detail = `revision ${revision}, emptied: ${emptied}`;
      this.timeline.add(EventKind.Evacuated, detail);
      log.info('The emptied failure domains changed.', {revision, emptied});
    });
  }
}
