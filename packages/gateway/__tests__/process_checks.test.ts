import assert from 'node:assert/strict';
import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
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
  let server: Server;
  let connections = 0;

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  async function createChecks(
    identity: ReportedIdentity,
    listener = answer,
    incarnation = INCARNATION,
  ): Promise<() => Promise<CheckedProcess>> {
    server = createServer(listener);
    server.on('connection', () => connections++);
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const {port} = server.address() as AddressInfo;
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

  for (const {name, identity, listener, incarnation, expected} of CASES) {
    it(`find that the address is ${expected}: ${name}`, async () => {
      const check = await createChecks(identity, listener, incarnation);
      assert.equal((await check()).state, expected);
    });
  }

  it('find that the address is closed after the end of the process', async () => {
    const check = await createChecks(SAME);
    server.close();
    assert.equal((await check()).state, ListenerState.Closed);
  });

  it('share connections when many bodies end at once', async () => {
    const check = await createChecks(SAME);
    connections = 0;
    const found = await Promise.all(Array.from({length: ENDS}, check));
    assert.ok(found.every(({state}) => state === ListenerState.Listening));
    assert.equal(connections, 2);
  });
});
