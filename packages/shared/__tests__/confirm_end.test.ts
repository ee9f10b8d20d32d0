import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {confirmEnd} from '../src/confirm_end.js';

const HOST = '127.0.0.1';
/** Shorter than the time for which a connection has to last. */
const LATE_MS = 20;

const keep = {verb: 'keeps', close: (): void => undefined};
const CLOSES = [
  {verb: 'ends', close: (socket: Socket) => void socket.end()},
  {verb: 'resets', close: (socket: Socket) => void socket.resetAndDestroy()},
  {
    verb: 'ends a moment later',
    close: (socket: Socket) => void setTimeout(() => socket.end(), LATE_MS),
  },
  {
    verb: 'resets a moment later',
    close: (socket: Socket) =>
      void setTimeout(() => socket.resetAndDestroy(), LATE_MS),
  },
];

/** What a server does with a connection, and how many it accepts. */
const CASES = [
  {...keep, connections: 0, isEnd: true},
  {...keep, connections: Infinity, isEnd: false},
  ...CLOSES.flatMap(close => [
    {...close, connections: 1, isEnd: true},
    {...close, connections: Infinity, isEnd: false},
  ]),
];

describe('the end of a process', () => {
  for (const {verb, close, connections, isEnd} of CASES) {
    const count = connections === Infinity ? 'any' : String(connections);
    it(`is ${isEnd ? '' : 'not '}confirmed: it accepts ${count}, and ${verb} each`, async () => {
      let accepted = 0;
      const server = createServer(socket => {
        socket.on('error', () => undefined);
        if (++accepted === connections) server.close();
        close(socket);
      });
      server.listen(0, HOST);
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      if (connections === 0) server.close();
      assert.equal(await confirmEnd({host: HOST, port}), isEnd);
      server.close();
    });
  }
});
