import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ClientServer} from '../src/index.js';

const HEADS = /HTTP\/1\.1 200[^]*?\r\nConnection: (\S+)\r\n/g;

function formatRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: main.example\r\n\r\n`;
}

/** Steps of a client and its server. */
interface Steps {
  /** Sends requests and waits until the server has read them. */
  readonly send: (...paths: string[]) => Promise<void>;
  readonly drain: () => void;
  readonly begin: (path: string) => void;
  /** Ends a response, and waits until the client has it. */
  readonly end: (path: string) => Promise<void>;
  readonly closeIdle: () => void;
}

interface Case {
  readonly name: string;
  readonly run: (steps: Steps) => Promise<void>;
  /** What the client is told of its connection in each response. */
  readonly expected: readonly string[];
  readonly handled: readonly string[];
}

const CASES: readonly Case[] = [
  {
    name: 'is told in the response to a request that arrives later',
    run: async ({send, drain, end}) => {
      drain();
      await send('/a');
      await end('/a');
    },
    expected: ['close'],
    handled: ['/a'],
  },
  {
    name: 'is told in the response to a request in progress',
    run: async ({send, drain, end}) => {
      await send('/a');
      drain();
      await end('/a');
    },
    expected: ['close'],
    handled: ['/a'],
  },
  {
    name: 'is told in the last of the responses to requests in progress',
    run: async ({send, drain, end}) => {
      await send('/a', '/b');
      drain();
      await end('/a');
      await end('/b');
    },
    expected: ['keep-alive', 'close'],
    handled: ['/a', '/b'],
  },
  {
    name: 'is told in the response to a request that arrives before another began',
    run: async ({send, drain, end}) => {
      await send('/a');
      drain();
      await send('/b');
      await end('/a');
      await end('/b');
    },
    expected: ['keep-alive', 'close'],
    handled: ['/a', '/b'],
  },
  {
    name: 'may send a request until it is told',
    run: async ({send, drain, begin, end, closeIdle}) => {
      await send('/a');
      begin('/a');
      drain();
      await end('/a');
      closeIdle();
      await send('/b');
      await end('/b');
    },
    expected: ['keep-alive', 'close'],
    handled: ['/a', '/b'],
  },
  {
    name: 'has no later request handled once it is told',
    run: async ({send, drain, begin, end}) => {
      await send('/a');
      drain();
      begin('/a');
      await send('/b');
      await end('/a');
    },
    expected: ['close'],
    handled: ['/a'],
  },
];

// A request that a client sent on its open connection was reset.
describe('a client of a server that drains', () => {
  let server: ClientServer;
  let responses: Map<string, ServerResponse>;
  /** Paths of the requests that were read. */
  let read: Set<string | undefined>;

  beforeEach(async () => {
    responses = new Map();
    read = new Set();
    server = new ClientServer({}, ({url}, res) => responses.set(url!, res));
    server.on('request', ({url}) => read.add(url));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  function createSteps(socket: Socket): Steps {
    return {
      send: async (...paths) => {
        socket.write(paths.map(formatRequest).join(''));
        while (!read.has(paths.at(-1))) await once(server, 'request');
      },
      drain: () => server.startDraining(),
      begin: path => responses.get(path)!.writeHead(200).write('begun '),
      end: async path => {
        responses.get(path)!.end(path);
        await once(socket, 'data');
      },
      closeIdle: () => server.closeIdleConnections(),
    };
  }

  for (const {name, run, expected, handled} of CASES) {
    it(name, {timeout: 10_000}, async () => {
      const {port} = server.address() as AddressInfo;
      const socket = connect({port, host: '127.0.0.1'});
      let text = '';
      socket.on('data', bytes => (text += String(bytes)));
      const closed = once(socket, 'close');
      await run(createSteps(socket));
      await closed;
      const told = [...text.matchAll(HEADS)].map(([, value]) => value);
      assert.deepEqual(told, expected, text);
      assert.deepEqual([...responses.keys()], handled);
    });
  }
});
