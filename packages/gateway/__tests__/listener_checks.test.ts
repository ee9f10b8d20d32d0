import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {ConnectionPools} from '../src/connection/connection_pools.js';
import {ListenerState} from '../src/connection/listener_state.js';
import {Backend} from '../src/fleet/backend.js';
import {createPresence} from './create_backend.js';

const HOST = '127.0.0.1';
const ENDS = 20;

describe('checks of listeners', () => {
  it('share connections when many bodies end at once', async () => {
    let connections = 0;
    const server = createServer(() => connections++);
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const {port} = server.address() as AddressInfo;
    const pools = new ConnectionPools();
    const backend = new Backend(createPresence({address: {host: HOST, port}}));
    const states = await Promise.all(
      Array.from({length: ENDS}, () => pools.listenerState(backend)),
    );
    server.close();
    assert.deepEqual(new Set(states), new Set([ListenerState.Listening]));
    assert.equal(connections, 2);
  });
});
