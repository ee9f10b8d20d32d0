import assert from 'node:assert/strict';
import {afterEach, describe, it, mock} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {EventBus, type Address} from '@vanillamux/shared';
import {FactSync} from '../src/peers/fact_sync.js';
import type {PeerFacts} from '../src/peers/peer_facts.js';
import type {PeerNotices} from '../src/peers/peer_notices.js';
import type {ReceivedSyncNotice} from '../src/peers/received_sync_notice.js';
import {SyncKind} from '../src/peers/sync_kind.js';

const PEER = {host: 'a', port: 1};
const FACTS = {limits: {facts: []}};
const LONG_PAUSE_MS = 5_000;
const SECOND_MS = 1_000;

interface Fixture {
  readonly sync: FactSync;
  readonly bus: EventBus<ReceivedSyncNotice>;
  /** Facts that were sent, with the receiver if it was a single one. */
  readonly sent: Array<{readonly to?: Address; readonly facts: PeerFacts}>;
}

async function createSync(): Promise<Fixture> {
  const bus = new EventBus<ReceivedSyncNotice>();
  const sent: Fixture['sent'] = [];
  const notices = {
    syncNotices: () => bus.stream(),
    sendFacts: (facts: PeerFacts) => sent.push({facts}),
    replyTo: (to: Address, facts: PeerFacts) => sent.push({to, facts}),
  } as unknown as PeerNotices;
  const sync = new FactSync({notices, sources: [{takeFacts: () => FACTS}]});
  // Streams deliver to their observers after the current turn.
  await setImmediate();
  mock.timers.enable({apis: ['setInterval', 'setTimeout', 'Date']});
  sync.start();
  return {sync, bus, sent};
}

function countRequests({sent}: Fixture): number {
  return sent.filter(({facts}) => facts.sync === SyncKind.Request).length;
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly run: (fixture: Fixture) => void | Promise<void>;
  readonly isSynced: boolean;
  readonly requests: number;
}> = [
  {
    name: 'before a control host has named the peers',
    run: () => undefined,
    isSynced: false,
    requests: 0,
  },
  {
    name: 'whose peers are named late',
    run: ({sync}) => {
      mock.timers.tick(LONG_PAUSE_MS);
      sync.onPeers(2);
    },
    isSynced: false,
    requests: 1,
  },
  {
    name: 'that had no peers before',
    run: ({sync}) => {
      sync.onPeers(0);
      sync.onPeers(2);
    },
    isSynced: false,
    requests: 1,
  },
  {
    name: 'that has no peers',
    run: ({sync}) => sync.onPeers(0),
    isSynced: true,
    requests: 0,
  },
  {
    name: 'whose peers have not replied yet',
    run: ({sync}) => sync.onPeers(2),
    isSynced: false,
    requests: 1,
  },
  {
    name: 'with a reply',
    run: ({sync, bus}) => {
      sync.onPeers(2);
      bus.emit({replyTo: PEER, kind: SyncKind.Reply});
    },
    isSynced: true,
    requests: 1,
  },
  {
    name: 'whose peers do not reply in time',
    run: ({sync}) => {
      sync.onPeers(2);
      mock.timers.tick(SECOND_MS);
    },
    isSynced: true,
    requests: 1,
  },
  {
    name: 'that was suspended',
    run: async ({sync, bus}) => {
      sync.onPeers(2);
      bus.emit({replyTo: PEER, kind: SyncKind.Reply});
      await setImmediate();
      mock.timers.setTime(LONG_PAUSE_MS);
      mock.timers.tick(SECOND_MS);
    },
    isSynced: false,
    requests: 2,
  },
];

describe('FactSync', () => {
  const fixtures: Fixture[] = [];

  afterEach(() => {
    for (const {sync} of fixtures.splice(0)) sync.stop();
    mock.timers.reset();
  });

  for (const {name, run, isSynced, requests} of CASES) {
    it(`${isSynced ? 'lets' : 'makes'} requests ${isSynced ? 'pass' : 'wait'} on a host ${name}`, async () => {
      const fixture = await createSync();
      fixtures.push(fixture);
      await run(fixture);
      await setImmediate();
      assert.equal(fixture.sync.isSynced, isSynced);
      assert.equal(countRequests(fixture), requests);
    });
  }

  it('lets a request pass after a second without a list of peers', async () => {
    const fixture = await createSync();
    fixtures.push(fixture);
    const waited = fixture.sync.waitUntilSynced();
    mock.timers.tick(SECOND_MS);
    await waited;
    assert.equal(fixture.sync.isSynced, false);
  });

  it('replies to a peer with what it knows, and sends it again each second', async () => {
    const fixture = await createSync();
    fixtures.push(fixture);
    fixture.bus.emit({replyTo: PEER, kind: SyncKind.Request});
    await setImmediate();
    const replies = fixture.sent.splice(0);
    assert.ok(replies.length > 0);
    for (const {to, facts} of replies) {
      assert.deepEqual(to, PEER);
      assert.deepEqual(facts, {...FACTS, sync: SyncKind.Reply});
    }
    mock.timers.tick(SECOND_MS);
    assert.deepEqual(fixture.sent, [{facts: FACTS}]);
  });
});
