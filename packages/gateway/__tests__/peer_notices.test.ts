import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {monotonicMs, sleep} from '@vanillamux/shared';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {PeerNotices} from '../src/peers/peer_notices.js';
import {createPresence, createWork, reported} from './create_backend.js';
import {freePort} from './free_port.js';

const POLL_MS = 5;
const WAIT_LIMIT_MS = 5_000;
const HOST = '127.0.0.1';

interface Peer {
  readonly id: string;
  readonly backends: BackendPool;
  readonly notices: PeerNotices;
}

describe('PeerNotices', () => {
  const peers: Peer[] = [];

  afterEach(() => {
    for (const {notices} of peers.splice(0)) notices.close();
  });

  async function createPeers(ids: readonly string[]): Promise<Peer[]> {
    const entries = [];
    for (const id of ids) {
      const address = {host: HOST, port: await freePort(HOST)};
      const backends = new BackendPool();
      backends.apply(reported(createPresence({id: 'engine'})));
      const entry = {id, failureDomain: 'fd-a', address};
      const notices = new PeerNotices({...entry, backends});
      const bound = await notices.listen();
      assert.ok(bound.ok);
      entries.push(entry);
      peers.push({id, backends, notices});
    }
    for (const {notices} of peers) notices.replacePeers(entries);
    return peers;
  }

  async function waitUntil(check: () => boolean): Promise<void> {
    const endMs = monotonicMs() + WAIT_LIMIT_MS;
    while (!check()) {
      assert.ok(monotonicMs() < endMs, 'the condition was not met in time');
      await sleep(POLL_MS);
    }
  }

  it('broadcasts placed work and its end', async () => {
    const [sender, receiver] = await createPeers(['a', 'b']);
    const backend = sender!.backends.get('engine')!;
    const receivedWork = receiver!.backends.get('engine')!.work;
    const isKnown = () => receivedWork.entries(monotonicMs()).length > 0;
    const item = createWork({contextTokens: 5_000, decodeMs: 60_000});
    sender!.notices.tell('r/1', [{backend, item}]);
    await waitUntil(isKnown);
    sender!.notices.tellEnd('r/1', [{backend, item}]);
    await waitUntil(() => !isKnown());
  });

  it('does not throw for work that ends after the socket was closed', async () => {
    const [sender] = await createPeers(['a', 'b']);
    peers.shift();
    const backend = sender!.backends.get('engine')!;
    sender!.notices.close();
    sender!.notices.tellEnd('r/1', [{backend, item: createWork({})}]);
  });
});
