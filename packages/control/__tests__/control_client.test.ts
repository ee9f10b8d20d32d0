import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {rpcBuilder, serveRpc, unwrap} from '@vanillamux/rpc';
import {ErrorCodes, fail, succeed, VmuxError} from '@vanillamux/shared';
import {ControlClient} from '../src/control_client.js';

const HOST = '127.0.0.1';
/** Refusals of both followers before one of them is elected. */
const REFUSALS = 4;

const CASES = [
  {name: 'hangs', closes: false},
  {name: 'closes connections', closes: true},
];

for (const {name, closes} of CASES) {
  describe(`a client of a control group whose lost leader ${name}`, () => {
    const followers: Server[] = [];
    const closeRpc: Array<() => void> = [];
    let refusals = 0;
    const sockets: Socket[] = [];
    const lost = createTcpServer(socket => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      if (closes) socket.destroy();
      else socket.resume();
    });
    let client: ControlClient;

    before(async () => {
      const lostPort = await listen(lost);
      const leader = `${HOST}:${lostPort}`;
      const router = rpcBuilder.router({
        declarations: rpcBuilder.router({
          current: rpcBuilder.procedure.query(() =>
            unwrap(
              refusals++ < REFUSALS
                ? fail(new VmuxError(ErrorCodes.NotLeader, {field: leader}))
                : succeed('current'),
            ),
          ),
        }),
      });
      const ports = [lostPort];
      for (let index = 0; index < 2; index++) {
        const server = createServer();
        closeRpc.push(serveRpc(server, router));
        followers.push(server);
        ports.push(await listen(server));
      }
      client = new ControlClient(ports.map(port => ({host: HOST, port})));
    });

    after(() => {
      client.close();
      for (const close of closeRpc) close();
      for (const server of followers) server.close();
      for (const socket of sockets) socket.destroy();
      lost.close();
    });

    it('asks the others, though they still name it as the leader', async () => {
      let attempts = 0;
      const result = await client.callLeader((api, signal) => {
        attempts++;
        return api.declarations.current.query(undefined, {signal});
      });
      assert.ok(result.ok, result.ok ? '' : result.error.message);
      // One for the lost leader, and those that are refused and accepted.
      assert.equal(attempts, 1 + REFUSALS + 1);
    });
  });
}

async function listen(server: {
  listen(port: number, host: string, done: () => void): unknown;
  address(): AddressInfo | string | null;
}): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return (server.address() as AddressInfo).port;
}
