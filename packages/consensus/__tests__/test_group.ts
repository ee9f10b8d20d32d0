import assert from 'node:assert/strict';
import {monotonicMs, sleep} from '@vanillamux/shared';
import {MemoryDisk} from '@vanillamux/storage';
import {
  MemberRole,
  RaftNode,
  RaftRole,
  RaftStorage,
  StateMachine,
  type Member,
  type RaftTiming,
} from '../src/index.js';
import {FakeNetwork} from './fake_network.js';

const POLL_MS = 5;
const WAIT_TIMEOUT_MS = 10_000;

/** Short durations, so that tests with many elections are fast. */
export const TEST_TIMING: RaftTiming = {
  heartbeatMs: 15,
  electionMinMs: 75,
  electionMaxMs: 150,
  callTimeoutMs: 40,
};

/** State machine that records the applied commands. */
export class RecordingStateMachine extends StateMachine {
  commands: string[] = [];

  apply(command: string): number {
    this.commands.push(command);
    return this.commands.length;
  }

  snapshot(): string {
    return JSON.stringify(this.commands);
  }

  restore(snapshot: string): void {
    this.commands = snapshot === '' ? [] : (JSON.parse(snapshot) as string[]);
  }
}

/** Member of a `TestGroup`. */
export interface TestMember {
  readonly member: Member;
  disk: MemoryDisk;
  machine: RecordingStateMachine;
  node?: RaftNode;
}

export function createMember(id: string): Member {
  return {
    id,
    hostId: id.split('/')[0]!,
    failureDomain: 'fd',
    address: {host: '127.0.0.1', port: 1},
    role: MemberRole.Voter,
  };
}

/** Group of members in this process, connected by a fake network. */
export class TestGroup {
  readonly network: FakeNetwork;
  readonly members = new Map<string, TestMember>();
  /** Leaders seen in each term. */
  readonly leadersByTerm = new Map<number, Set<string>>();

  constructor(
    private readonly random: () => number,
    private readonly options: {
      snapshotEntries?: number;
      trailingEntries?: number;
    } = {},
  ) {
    this.network = new FakeNetwork(random);
  }

  /** Starts new members that form a group. */
  async form(ids: readonly string[]): Promise<void> {
    const members = ids.map(createMember);
    for (const member of members) {
      await this.start(member, new MemoryDisk(), members);
    }
  }

  /** Starts a member on a disk; `initialMembers` is the list of a new group. */
  async start(
    member: Member,
    disk: MemoryDisk,
    initialMembers?: readonly Member[],
  ): Promise<TestMember> {
    const recovered = await RaftStorage.open(disk);
    assert.ok(recovered.ok, recovered.ok ? '' : recovered.error.message);
    const {storage, log} = recovered.value;
    if (initialMembers) {
      const base = {index: 0, term: 0, members: initialMembers, state: ''};
      await storage.saveSnapshot(base);
      log.compact(base);
    }
    const machine = new RecordingStateMachine();
    const node = new RaftNode({
      selfId: member.id,
      recovered: recovered.value,
      transport: this.network.transport(member.id),
      stateMachine: machine,
      timing: TEST_TIMING,
      ...this.options,
    });
    void node.roles().observe(role => {
      if (role === RaftRole.Leader) this.recordLeader(node, member.id);
    });
    const testMember: TestMember = {member, disk, machine, node};
    this.members.set(member.id, testMember);
    this.network.attach(member.id, node);
    node.start();
    return testMember;
  }

  /** Crashes a member; its disk loses writes that were not synced. */
  async crash(id: string): Promise<void> {
    const testMember = this.members.get(id)!;
    const {node} = testMember;
    if (!node) return;
    testMember.disk.remainingOperations = 0;
    testMember.node = undefined;
    this.network.detach(id);
    const disk = testMember.disk.crash(() => Math.floor(this.random() * 200));
    await node.stop().catch(() => undefined);
    testMember.disk = disk;
  }

  /** Restarts a crashed member from its disk. */
  async restart(id: string): Promise<void> {
    const {member, disk, node} = this.members.get(id)!;
    if (!node) await this.start(member, disk);
  }

  /** Returns the running leader of the latest term, if there is one. */
  leader(): TestMember | undefined {
    return [...this.members.values()]
      .filter(({node}) => node?.status().role === RaftRole.Leader)
      .sort((a, b) => b.node!.status().term - a.node!.status().term)[0];
  }

  /** Proposes a command to the current leader until it is committed. */
  async commit(command: string): Promise<void> {
    await this.waitUntil(`"${command}" is committed`, async () => {
      const result = await this.leader()?.node?.propose(command);
      return result?.ok === true;
    });
  }

  /** Polls until `check` returns true. */
  async waitUntil(
    condition: string,
    check: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const deadlineMs = monotonicMs() + WAIT_TIMEOUT_MS;
    while (!(await check())) {
      assert.ok(
        monotonicMs() < deadlineMs,
        `timed out waiting until ${condition}`,
      );
      await sleep(POLL_MS);
    }
  }

  async stop(): Promise<void> {
    for (const {node} of this.members.values()) {
      await node?.stop().catch(() => undefined);
    }
  }

  private recordLeader(node: RaftNode, id: string): void {
    const {term, role} = node.status();
    if (role !== RaftRole.Leader) return;
    const leaderIds = this.leadersByTerm.get(term) ?? new Set<string>();
    this.leadersByTerm.set(term, leaderIds.add(id));
  }
}
