import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import type {CheckedProcess} from '../src/connection/checked_process.js';
import {ConnectionPools} from '../src/connection/connection_pools.js';
import {ListenerState} from '../src/connection/listener_state.js';
import {ProcessChecks} from '../src/connection/process_checks.js';
import type {ReportedIdentity} from '../src/dialect/reported_identity.js';
import {Backend} from '../src/fleet/backend.js';
import {createPresence} from './create_backend.js';

const HOST = '127.0.0.1';
const ENDS = 20;
const INCARNATION = 7;
const SAME = {isOther: false, incarnation: INCARNATION};

/** Longer than a backend server is given to answer. */
const BUSY_MS = 150;
/** Process that answers while this one is busy. */
const SERVER = `
  const {parentPort} = require('node:worker_threads');
  const server = require('node:http').createServer((req, res) => res.end());
  server.listen(0, '${HOST}', () => parentPort.postMessage(server.address().port));
`;

const answer: RequestListener = (req, res) => void res.end('{}');

interface Case {
  readonly name: string;
  readonly identity: ReportedIdentity;
  readonly incarnation?: number;
  readonly listener?: RequestListener;
  readonly expected: ListenerState;
}

const CASES: readonly Case[] = [
  {
    name: 'the same process',
    identity: SAME,
    expected: ListenerState.Listening,
  },
  {
    name: 'a process that names no incarnation',
    identity: {isOther: false},
    expected: ListenerState.Listening,
  },
  {
    name: 'a process of which no incarnation is known',
    identity: SAME,
    incarnation: 0,
    expected: ListenerState.Listening,
  },
  {
    name: 'a later incarnation',
    identity: {isOther: false, incarnation: INCARNATION + 1},
    expected: ListenerState.Replaced,
  },
  {
    name: 'another backend server',
    identity: {isOther: true},
    expected: ListenerState.Replaced,
  },
  {
    name: 'a process that does not answer',
    identity: {isOther: true},
    listener: () => undefined,
    expected: ListenerState.Listening,
  },
  {
    name: 'a process that resets each connection',
    identity: SAME,
    listener: ({socket}) => void socket.resetAndDestroy(),
    expected: ListenerState.Listening,
  },
];

describe('checks of processes', () => {
  let server: Server | undefined;
  let connections = 0;

  afterEach(() => {
    server?.close();
    server?.closeAllConnections();
  });

  function createCheck(
    port: number,
    identity: ReportedIdentity,
    incarnation = INCARNATION,
  ): () => Promise<CheckedProcess> {
    const address = {host: HOST, port};
    const backend = new Backend(createPresence({address, incarnation}));
    const checks = new ProcessChecks({
      connections: new ConnectionPools(),
      dialect: {
        writeIdentityCall: () => ({path: '/', headers: []}),
        readIdentity: () => identity,
      },
    });
    return () => checks.check(backend);
  }

  async function startServer(listener = answer): Promise<number> {
    server = createServer(listener);
    server.on('connection', () => connections++);
    server.listen(0, HOST);
    await once(server, 'listening');
    return (server.address() as AddressInfo).port;
  }

  for (const {name, identity, listener, incarnation, expected} of CASES) {
    it(`find that the address is ${expected}: ${name}`, async () => {
      const port = await startServer(listener);
      const check = createCheck(port, identity, incarnation);
      assert.equal((await check()).state, expected);
    });
  }

  it('read an answer that came while this host was busy', async () => {
    const worker = new Worker(SERVER, {eval: true});
    const [port] = (await once(worker, 'message')) as [number];
    const checking = createCheck(port, {isOther: true})();
    await setImmediate();
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BUSY_MS);
    assert.equal((await checking).state, ListenerState.Replaced);
    await worker.terminate();
  });

  it('find that the address is closed after the end of the process', async () => {
    const check = createCheck(await startServer(), SAME);
    server!.close();
    assert.equal((await check()).state, ListenerState.Closed);
  });

  it('share connections when many bodies end at once', async () => {
    const check = createCheck(await startServer(), SAME);
    connections = 0;
    const found = await Promise.all(Array.from({length: ENDS}, check));
    assert.ok(found.every(({state}) => state === ListenerState.Listening));
    assert.equal(connections, 2);
  });
});
