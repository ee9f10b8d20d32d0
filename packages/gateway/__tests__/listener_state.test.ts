import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {Address} from '@vanillamux/shared';
import {ConnectionPools} from '../src/connection/connection_pools.js';
import {ListenerState} from '../src/connection/listener_state.js';
import {Backend} from '../src/fleet/backend.js';
import {createPresence} from './create_backend.js';

const HOST = '127.0.0.1';
/** Shorter than the time for which a connection has to last. */
const LATE_MS = 20;

/** What a server does with a connection that it has accepted. */
enum Treatment {
  Keep = 'keeps',
  Reset = 'resets',
  ResetLate = 'resets a moment later',
  End = 'ends',
  EndLate = 'ends a moment later',
}

interface Row {
  readonly treatment: Treatment;
  /** Connections after which the server listens no more. */
  readonly connections: number;
  readonly state: ListenerState;
}

const {Listening, Closed, Unclear} = ListenerState;
const ROWS: readonly Row[] = [
  {treatment: Treatment.Keep, connections: 0, state: Closed},
  {treatment: Treatment.Keep, connections: Infinity, state: Listening},
  ...[Treatment.Reset, Treatment.ResetLate, Treatment.End, Treatment.EndLate]
    .map(treatment => [
      {treatment, connections: 1, state: Closed},
      {treatment, connections: Infinity, state: Unclear},
    ])
    .flat(),
];

describe('the state of a listener', () => {
  let server: Server;
  let address: Address;
  let row: Row;
  let accepted: number;
  let received: string;

  beforeEach(async () => {
    accepted = 0;
    received = '';
    server = createServer(socket => {
      const {treatment, connections} = row;
      socket.on('error', () => undefined);
      socket.on('data', bytes => (received += String(bytes)));
      if (++accepted === connections) server.close();
      if (treatment === Treatment.Reset) socket.resetAndDestroy();
      if (treatment === Treatment.End) socket.end();
      if (treatment === Treatment.ResetLate)
        setTimeout(() => socket.resetAndDestroy(), LATE_MS);
      if (treatment === Treatment.EndLate)
        setTimeout(() => socket.end(), LATE_MS);
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    address = {host: HOST, port: (server.address() as AddressInfo).port};
  });

  afterEach(() => server.close());

  for (const candidate of ROWS) {
    const {treatment, connections, state} = candidate;
    const count = connections === Infinity ? 'any' : String(connections);
    it(`is ${state}: it accepts ${count}, and ${treatment} each`, async () => {
      row = candidate;
      if (connections === 0) {
        server.close();
        await once(server, 'close');
      }
      const pools = new ConnectionPools();
      const backend = new Backend(createPresence({address}));
      assert.equal(await pools.listenerState(backend), state);
      assert.equal(received, '');
    });
  }

  it('is that at the address to which connections lead', async () => {
    row = ROWS[1]!;
    const pools = new ConnectionPools(() => address);
    const backend = new Backend(createPresence({}));
    assert.equal(await pools.listenerState(backend), Listening);
    assert.equal(accepted, 1);
  });
});
