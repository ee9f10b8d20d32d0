import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {MemberRole, type GroupStatus, type Member} from '@vanillamux/consensus';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {unpackJson} from '@vanillamux/rpc';
import {EventBus} from '@vanillamux/shared';
import {ChecksummedFile, MemoryDisk} from '@vanillamux/storage';
import type {Stream} from 'most';
import {
  BackendCensus,
  BackendRegistry,
  CommandKind,
  ControlState,
  EntryHostFeed,
  EvacuationAction,
  planEvacuation,
  type Command,
  type FeedContent,
  type FeedRequest,
  type FeedUpdate,
} from '../src/index.js';
import type {ControlHost} from '../src/control_host.js';

const WAIT_MS = 60_000;
const member: Member = {
  id: 'c/1',
  hostId: 'c',
  failureDomain: 'fd',
  address: {host: '127.0.0.1', port: 2},
  role: MemberRole.Voter,
};
const entry = {
  id: 'e',
  failureDomain: 'fd',
  address: {host: '127.0.0.1', port: 1},
};

function evacuate(state: ControlState, failureDomain: string): void {
  const action = EvacuationAction.Begin;
  const view = planEvacuation(state.evacuation.view, {failureDomain, action});
  assert.ok(view);
  const command: Command = {kind: CommandKind.Evacuate, view, atMs: 0};
  state.apply(JSON.stringify(command));
}

/** Raft node of a host that follows a leader. */
class FakeNode {
  private readonly applied = new EventBus<number>();
  private members: readonly Member[] = [];
  private membersIndex = 0;
  private appliedIndex = 0;

  status(): Partial<GroupStatus> {
    const {members, membersIndex, appliedIndex} = this;
    const isCurrent = true;
    return {isCurrent, leaderSilentMs: 0, members, membersIndex, appliedIndex};
  }

  appliedIndexes(): Stream<number> {
    return this.applied.stream();
  }

  /** Sets a list of members, which is not yet certain. */
  append(members: readonly Member[]): void {
    this.members = members;
    this.membersIndex = this.appliedIndex + 1;
  }

  apply(): void {
    this.applied.emit(++this.appliedIndex);
  }
}

/** A feed, and an entry host that has polled it once. */
async function createFeed(census?: BackendCensus): Promise<{
  readonly state: ControlState;
  readonly node: FakeNode;
  poll(fields: Partial<FeedRequest>): Promise<FeedUpdate>;
}> {
  const state = new ControlState();
  const node = new FakeNode();
  const host = {stateMachine: state, node};
  const registry = new BackendRegistry({heartbeatMs: 1_000});
  const feed = new EntryHostFeed(
    host as unknown as ControlHost,
    registry,
    census,
  );
  const unknown = {registryId: '', position: 0, peersVersion: -1, version: -1};
  const first = await feed.waitForUpdate({entry, ...unknown, waitMs: 0});
  const {registryId, position, peersVersion} = first;
  const known = {registryId, position, peersVersion, version: -1};
  return {
    state,
    node,
    poll: fields =>
      feed.waitForUpdate({entry, ...known, waitMs: WAIT_MS, ...fields}),
  };
}

describe('the feed of the entry hosts', () => {
  it('has no emptied domains before the first order', async () => {
    const {poll} = await createFeed();
    const update = await poll({waitMs: 0, evacuationRevision: 0});
    assert.ok(!('evacuation' in JSON.parse(JSON.stringify(update))));
  });

  it('wakes a waiting entry host at an order', async () => {
    const {state, poll} = await createFeed();
    const waiting = poll({evacuationRevision: 0});
    evacuate(state, 'a');
    const {evacuation} = await waiting;
    assert.deepEqual(evacuation, {revision: 1, failureDomains: ['a']});
  });

  it('tells at once what an entry host lacks', async () => {
    const {state, poll} = await createFeed();
    evacuate(state, 'a');
    evacuate(state, 'b');
    const {evacuation} = await poll({evacuationRevision: 1});
    assert.deepEqual(evacuation?.failureDomains, ['a', 'b']);
  });

  for (const {name, knownBackends, expected} of [
    {name: 'learns', knownBackends: {notes: 4}, expected: {notes: 4}},
    {name: 'does without', knownBackends: undefined, expected: {}},
  ]) {
    it(`${name} how many backend servers an entry host knows`, async () => {
      const disk = new MemoryDisk();
      const file = new ChecksummedFile(disk, 'backends.json');
      const before = new BackendCensus({heartbeatMs: 0, file});
      await (await createFeed(before)).poll({waitMs: 0, knownBackends});
      await before.save();
      const after = new BackendCensus({heartbeatMs: WAIT_MS, file});
      await after.load();
      const {census} = await (await createFeed(after)).poll({waitMs: 0});
      assert.deepEqual(census?.expected, expected);
    });
  }

  it('says nothing of the time before once it has heard all servers', async () => {
    const census = new BackendCensus({heartbeatMs: 0});
    const update = await (await createFeed(census)).poll({waitMs: 0});
    assert.ok(!('census' in JSON.parse(JSON.stringify(update))));
  });

  // Entry hosts learnt of a host that had joined again with their next poll.
  for (const membersIndex of [0, undefined]) {
    const build =
      membersIndex === undefined ? 'an earlier build' : 'this build';
    it(`ends the poll of an entry host of ${build} when the members have changed`, async () => {
      const {node, poll} = await createFeed();
      const waiting = poll({membersIndex});
      node.append([member]);
      node.apply();
      const {control, membersIndex: told} = await waiting;
      assert.deepEqual(
        control.map(({address}) => address),
        [member.address],
      );
      assert.equal(told, 1);
    });
  }

  it('tells at once of members that an entry host was not told', async () => {
    const {node, poll} = await createFeed();
    node.append([member]);
    node.apply();
    await setImmediate();
    const {control} = await poll({membersIndex: 0});
    assert.equal(control.length, 1);
  });

  it('does not end a poll for members that may change back', async () => {
    const {state, node, poll} = await createFeed();
    let isAnswered = false;
    const waiting = poll({membersIndex: 0}).then(() => {
      isAnswered = true;
    });
    node.append([member]);
    await setImmediate();
    assert.ok(!isAnswered);
    state.published.publish({version: 1, digest: '', text: ''});
    await waiting;
  });

  for (const evacuationRevision of [undefined, 1]) {
    const asked = evacuationRevision === undefined ? 'not asked' : 'known';
    it(`waits for news where the order is ${asked}`, async () => {
      const {state, poll} = await createFeed();
      evacuate(state, 'a');
      // Streams deliver to their observers after the current turn.
      await setImmediate();
      let isAnswered = false;
      const waiting = poll({evacuationRevision}).then(() => {
        isAnswered = true;
      });
      await setImmediate();
      assert.ok(!isAnswered);
      state.published.publish({version: 1, digest: '', text: ''});
      await waiting;
    });
  }
});

const HOSTS = 40;
const REPORTS = 30;
/** No batch is collected for longer. */
const MAX_COLLECT_MS = 1_000;

function report(sequence: number, fields: Partial<Presence> = {}): Presence {
  return {
    id: `s${sequence}`,
    incarnation: 1,
    sequence,
    state: PresenceState.Ready,
    service: 'notes',
    address: {host: `10.0.0.${sequence}`, port: 80},
    failureDomain: 'fd',
    capacity: 4,
    ...fields,
  };
}

/** Entry hosts that poll again as soon as they are answered. */
class PollingHosts {
  readonly updates: FeedUpdate[] = [];
  readonly registry = new BackendRegistry({heartbeatMs: 1_000});
  readonly feed: EntryHostFeed;

  constructor(private readonly fields: Partial<FeedRequest> = {}) {
    const host = {stateMachine: new ControlState(), node: new FakeNode()};
    this.feed = new EntryHostFeed(
      host as unknown as ControlHost,
      this.registry,
    );
  }

  /** Starts the hosts, and waits until each knows `servers` of the service. */
  async start(servers = 2): Promise<void> {
    for (let at = 1; at <= servers; at++)
      this.registry.receive(report(REPORTS + at));
    for (let at = 0; at < HOSTS; at++) void this.run(at);
    await this.settle();
    mock.timers.tick(MAX_COLLECT_MS);
    await this.settle();
    mock.timers.tick(MAX_COLLECT_MS);
    await this.settle();
    this.updates.length = 0;
  }

  /** Lets all run that needs no timer. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < HOSTS; turn++) await setImmediate();
  }

  private async run(at: number): Promise<void> {
    const address = {host: '127.0.0.1', port: at + 1};
    let known = {registryId: '', position: 0, peersVersion: -1};
    for (;;) {
      const update = await this.feed.waitForUpdate({
        ...known,
        ...this.fields,
        entry: {id: `e${at}`, failureDomain: 'fd', address},
        version: -1,
        waitMs: WAIT_MS,
      });
      this.updates.push(update);
      const {registryId, position, peersVersion} = update;
      known = {registryId, position, peersVersion};
    }
  }
}

describe('the feed of many entry hosts', () => {
  beforeEach(() => mock.timers.enable({apis: ['setTimeout']}));
  afterEach(() => mock.timers.reset());

  it('answers no poll for each of many reports', async () => {
    const hosts = new PollingHosts();
    await hosts.start();
    for (let sequence = 1; sequence <= REPORTS; sequence++) {
      hosts.registry.receive(report(sequence));
      await hosts.settle();
    }
    mock.timers.tick(MAX_COLLECT_MS);
    await hosts.settle();
    assert.equal(hosts.updates.length, 2 * HOSTS);
    assert.equal(hosts.updates.at(-1)?.reports.length, REPORTS - 1);
  });

  it('answers no poll for each report of many services', async () => {
    const hosts = new PollingHosts();
    await hosts.start();
    for (let sequence = 1; sequence <= REPORTS; sequence++) {
      hosts.registry.receive(report(sequence, {service: `s${sequence}`}));
      await hosts.settle();
    }
    mock.timers.tick(MAX_COLLECT_MS);
    await hosts.settle();
    assert.equal(hosts.updates.length, 2 * HOSTS);
  });

  // Each second server of a small service used to make a batch of its own.
  it('answers no poll for each second server of many services', async () => {
    const hosts = new PollingHosts();
    await hosts.start();
    for (let at = 1; at < REPORTS; at++)
      hosts.registry.receive(report(at, {service: `s${at}`}));
    await hosts.settle();
    mock.timers.tick(MAX_COLLECT_MS);
    await hosts.settle();
    hosts.updates.length = 0;
    for (let at = 1; at < REPORTS; at++) {
      const address = {host: `10.0.1.${at}`, port: 80};
      const fields = {id: `second-${at}`, service: `s${at}`, address};
      hosts.registry.receive(report(at, fields));
      await hosts.settle();
    }
    mock.timers.tick(MAX_COLLECT_MS);
    await hosts.settle();
    assert.equal(hosts.updates.length, 2 * HOSTS);
    assert.equal(hosts.updates.at(-1)?.reports.length, REPORTS - 2);
  });

  it('encodes reports once for all entry hosts with the same state', async () => {
    const hosts = new PollingHosts({readsPacked: true});
    await hosts.start();
    const {encodings} = hosts.feed.counts;
    for (let sequence = 1; sequence <= REPORTS; sequence++)
      hosts.registry.receive(report(sequence));
    await hosts.settle();
    assert.equal(hosts.updates.length, HOSTS);
    assert.equal(hosts.feed.counts.encodings, encodings + 1);
    for (const {packed} of hosts.updates) {
      const content = unpackJson<FeedContent>(packed!);
      assert.equal(content.ok && content.value.reports.length, REPORTS);
    }
  });

  it('lets other messages go first while it answers all entry hosts', async () => {
    const hosts = new PollingHosts();
    await hosts.start();
    hosts.registry.receive(report(1));
    let turns = 0;
    while (hosts.updates.length < HOSTS) {
      await setImmediate();
      turns++;
    }
    assert.ok(turns > HOSTS / 10, `${turns} turns`);
  });

  it('returns polls of hosts that come at once in several turns', async () => {
    const hosts = new PollingHosts();
    hosts.registry.receive(report(1));
    const started = hosts.start();
    await setImmediate();
    await setImmediate();
    assert.ok(hosts.updates.length < HOSTS / 2);
    await started;
  });

  for (const {servers, answers} of [
    {servers: 1, answers: 1},
    {servers: 2, answers: 2},
    {servers: 3, answers: 3},
    {servers: REPORTS, answers: 3},
  ]) {
    it(`tells at once of a service's first two servers of ${servers}`, async () => {
      const hosts = new PollingHosts();
      await hosts.start(0);
      for (let sequence = 1; sequence <= servers; sequence++) {
        hosts.registry.receive(report(sequence));
        await hosts.settle();
      }
      assert.equal(hosts.updates.length, answers * HOSTS);
    });
  }

  for (const state of [
    PresenceState.Draining,
    PresenceState.Gone,
    PresenceState.Silent,
  ]) {
    it(`tells at once that a backend server is ${state}`, async () => {
      const hosts = new PollingHosts();
      await hosts.start();
      hosts.registry.receive(report(1));
      await hosts.settle();
      hosts.registry.receive(report(2));
      await hosts.settle();
      assert.equal(hosts.updates.length, HOSTS);
      hosts.registry.receive(report(3, {id: 's1', state}));
      await hosts.settle();
      assert.equal(hosts.updates.length, 2 * HOSTS);
      const {reports} = hosts.updates.at(-1)!;
      assert.deepEqual(
        reports.map(({id, state}) => ({id, state})),
        [
          {id: 's1', state},
          {id: 's2', state: PresenceState.Ready},
        ],
      );
    });
  }

  it('answers entry hosts of an earlier build in their form', async () => {
    const hosts = new PollingHosts();
    const waiting = hosts.start();
    await hosts.settle();
    const [update] = hosts.updates;
    assert.equal(update?.peers?.length, HOSTS);
    assert.ok(!('packed' in update));
    await waiting;
  });
});
