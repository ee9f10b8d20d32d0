import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ClientServer} from '../src/client_server.js';

/** Larger than the buffers of both sockets of a connection. */
const LARGE_BODY = Buffer.alloc(32 * 1_024 * 1_024);
const REQUEST = 'GET / HTTP/1.1\r\nHost: main.example\r\n\r\n';
const UPLOAD =
  'POST / HTTP/1.1\r\nHost: main.example\r\nContent-Length: 4\r\n\r\nbody';

/** Reads until the connection ends; returns how many bytes there were. */
async function readToEnd(socket: Socket): Promise<number> {
  let length = 0;
  socket.on('data', (bytes: Buffer) => (length += bytes.length));
  await once(socket, 'close');
  return length;
}

describe('ClientServer', () => {
  let server: ClientServer;
  let responses: ServerResponse[];

  beforeEach(async () => {
    responses = [];
    server = new ClientServer({}, (req, res) => responses.push(res));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  async function open(text: string, requests: number): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect({port, host: '127.0.0.1'});
    socket.write(text);
    while (responses.length < requests) await once(server, 'request');
    return socket;
  }

  for (const {name, close} of [
    {name: 'close', close: () => server.close()},
    {name: 'closeIdleConnections', close: () => server.closeIdleConnections()},
  ]) {
    it(`${name} spares a response that the client has not read yet`, async () => {
      const socket = await open(REQUEST, 1);
      responses[0]!.shouldKeepAlive = false;
      responses[0]!.end(LARGE_BODY);
      await once(socket, 'readable');
      close();
      const length = await readToEnd(socket);
      assert.ok(length > LARGE_BODY.length, `${length} bytes were received`);
    });

    it(`${name} closes a connection whose responses were handed over`, async () => {
      const socket = await open(REQUEST + REQUEST, 2);
      for (const res of responses) res.end('ok');
      await once(responses[1]!, 'close');
      close();
      assert.ok((await readToEnd(socket)) > 0);
    });

    it(`${name} spares a connection with another request in progress`, async () => {
      const socket = await open(REQUEST + REQUEST, 2);
      responses[0]!.end('first');
      await once(responses[0]!, 'close');
      close();
      responses[1]!.shouldKeepAlive = false;
      responses[1]!.end(LARGE_BODY);
      const length = await readToEnd(socket);
      assert.ok(length > LARGE_BODY.length, `${length} bytes were received`);
    });

    it(`${name} spares a connection on which a request arrives`, async () => {
      const socket = await open(REQUEST, 1);
      responses[0]!.end('first');
      await once(responses[0]!, 'close');
      const {bytesRead} = responses[0]!.req.socket;
      socket.write(REQUEST.slice(0, -2));
      while (responses[0]!.req.socket.bytesRead === bytesRead)
        await new Promise(resolve => setImmediate(resolve));
      close();
      socket.write(REQUEST.slice(-2));
      while (responses.length < 2) await once(server, 'request');
      responses[1]!.shouldKeepAlive = false;
      responses[1]!.end(LARGE_BODY);
      const length = await readToEnd(socket);
      assert.ok(length > LARGE_BODY.length, `${length} bytes were received`);
    });

    it(`${name} spares a connection on which the body of an answered request arrives`, async () => {
      const [head, body] = [UPLOAD.slice(0, -2), UPLOAD.slice(-2)];
      const socket = await open(head, 1);
      responses[0]!.end('refused');
      await once(responses[0]!, 'close');
      const {req} = responses[0]!;
      const read = once(req, 'close');
      const closed = readToEnd(socket);
      close();
      socket.write(body);
      await Promise.race([read, closed]);
      assert.ok(req.complete);
      server.closeIdleConnections();
      assert.ok((await closed) > 0);
    });
  }
});

describe('a ClientServer that awaits first requests', () => {
  for (const {name, headersTimeout, isKept} of [
    {name: 'keeps', headersTimeout: 60_000, isKept: true},
    {name: 'gives up after the timeout', headersTimeout: 1, isKept: false},
  ]) {
    it(`${name} a connection that had none yet`, async () => {
      const server = new ClientServer(
        {headersTimeout},
        (_req, res) => res.end('ok'),
        {clientsClose: true},
      );
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const socket = connect({port, host: '127.0.0.1'});
      await once(server, 'connection');
      const received = readToEnd(socket);
      server.close();
      if (isKept) {
        socket.write(REQUEST);
        await Promise.race([once(socket, 'data'), received]);
      }
      while (server.connectionCount > 0) {
        server.closeIdleConnections();
        await new Promise(resolve => setImmediate(resolve));
      }
      assert.equal((await received) > 0, isKept);
    });
  }
});
