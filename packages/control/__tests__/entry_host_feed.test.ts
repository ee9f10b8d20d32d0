import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {ChecksummedFile, MemoryDisk} from '@vanillamux/storage';
import {
  BackendCensus,
  BackendRegistry,
  CommandKind,
  ControlState,
  EntryHostFeed,
  EvacuationAction,
  planEvacuation,
  type Command,
  type FeedRequest,
  type FeedUpdate,
} from '../src/index.js';
import type {ControlHost} from '../src/control_host.js';

const WAIT_MS = 60_000;
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

/** A feed, and an entry host that has polled it once. */
async function createFeed(census?: BackendCensus): Promise<{
  readonly state: ControlState;
  poll(fields: Partial<FeedRequest>): Promise<FeedUpdate>;
}> {
  const state = new ControlState();
  const status = {isCurrent: true, leaderSilentMs: 0, members: []};
  const host = {stateMachine: state, node: {status: () => status}};
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
