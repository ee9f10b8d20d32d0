import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
const CANCEL_AFTER_MS = 2_000;
const OK = 'HTTP/1.1 200 OK\r\n';
const CLOSE = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const SIZED = 'Content-Length: 5\r\n\r\nfirst';
const CHUNK = '5\r\nfirst\r\n';

interface Row {
  readonly name: string;
  readonly text: string;
  readonly method?: 'GET' | 'HEAD';
  /** The body, unless the response is incomplete or none. */
  readonly body?: string;
}

const ROWS: readonly Row[] = [
  // Bodies that are cut off.
  ...['', CLOSE].flatMap(close => {
    const suffix = close && ', to be closed';
    const chunked = `${OK}${close}${CHUNKED}\r\n`;
    return [
      {
        name: `a body that is shorter than its length${suffix}`,
        text: `${OK}${close}Content-Length: 6\r\n\r\nfirst`,
      },
      {
        name: `no byte of a body with a length${suffix}`,
        text: `${OK}${close}Content-Length: 6\r\n\r\n`,
      },
      {
        name: `a head that is cut off${suffix}`,
        text: `${OK}${close}Content-Length: 5\r\n`,
      },
      ...[
        '',
        '5\r\nfir',
        '5\r\nfirst',
        CHUNK,
        `${CHUNK}0`,
        `${CHUNK}0\r\n`,
      ].map(text => ({
        name: `chunks that end with ${JSON.stringify(text)}${suffix}`,
        text: chunked + text,
      })),
      {
        name: `trailers that are cut off${suffix}`,
        text: `${chunked}${CHUNK}0\r\nX: 1\r\n`,
      },
      {
        name: `trailers${suffix}`,
        text: `${chunked}${CHUNK}0\r\nX: 1\r\n\r\n`,
        body: 'first',
      },
    ];
  }),
  {
    name: 'chunks of HTTP/1.0 that are cut off',
    text: `HTTP/1.0 200 OK\r\n${CHUNKED}\r\n${CHUNK}`,
  },
  {
    name: 'a short body of HTTP/1.0',
    text: 'HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nfirst',
  },
  // Framing that is ambiguous or malformed.
  ...[
    'Content-Length: 5\r\nContent-Length: 3',
    'Content-Length: 5, 3',
    'Content-Length: 5x',
    'Content-Length: +5',
    'Content-Length: 0x5',
    'Content-Length: 18446744073709551621',
    'Content-Length:\r\n 5',
    'X: 1\nContent-Length: 5',
    'X: 1\rContent-Length: 5',
    'X: 1\r\n 2\r\nContent-Length: 5',
  ].map(fields => ({
    name: `fields ${JSON.stringify(fields)}`,
    text: `${OK}${CLOSE}${fields}\r\n\r\nfirst`,
  })),
  ...[
    `Content-Length: 5\r\n${CHUNKED}`,
    `${CHUNKED}Content-Length: 5\r\n`,
    `${CHUNKED}Content-Length: 3\r\n`,
    `${CHUNKED}${CHUNKED}`,
    'Transfer-Encoding: chunked, chunked\r\n',
  ].map(fields => ({
    name: `fields ${JSON.stringify(fields)}`,
    text: `${OK}${CLOSE}${fields}\r\n${CHUNK}0\r\n\r\n`,
  })),
  ...[
    '5\nfirst\n0\n\n',
    '3\r\nfirst\r\n0\r\n\r\n',
    '10000000000000005\r\nfirst\r\n0\r\n\r\n',
    `${CHUNK}0\r\nContent-Length: 2\r\n\r\n`,
  ].map(chunks => ({
    name: `chunks ${JSON.stringify(chunks)}`,
    text: `${OK}${CLOSE}${CHUNKED}\r\n${chunks}`,
  })),
  {
    name: 'bare line feeds',
    text: 'HTTP/1.1 200 OK\nContent-Length: 5\n\nfirst',
  },
  // Heads before that of the response.
  ...['102 Processing', '103 Early Hints'].flatMap(line => [
    {
      name: `${line}, then a response`,
      text: `HTTP/1.1 ${line}\r\n\r\n${OK}${SIZED}`,
      body: 'first',
    },
    {
      name: `${line}, then a short body`,
      text: `HTTP/1.1 ${line}\r\n\r\n${OK}${CLOSE}Content-Length: 6\r\n\r\nfirst`,
    },
    {
      name: `${line}, then the end`,
      text: `HTTP/1.1 ${line}\r\n${CLOSE}\r\n`,
    },
  ]),
  {name: 'a switch of protocols', text: 'HTTP/1.1 101 X\r\n\r\nfirst'},
  // Responses that have no body.
  {name: '204', text: 'HTTP/1.1 204 X\r\n\r\n', body: ''},
  {name: '304', text: 'HTTP/1.1 304 X\r\n\r\n', body: ''},
  {
    name: 'the length of a body that HEAD does not get',
    method: 'HEAD',
    text: `${OK}Content-Length: 5\r\n\r\n`,
    body: '',
  },
];

describe('the framing of a response', () => {
  let text = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(text, 'latin1'));
  });

  before(async () => {
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  after(() => server.close());

  for (const {name, method = 'GET', body, ...row} of ROWS) {
    const verdict = body === undefined ? 'not a complete response' : 'complete';
    it(`is ${verdict}: ${name}`, async () => {
      ({text} = row);
      const {port} = server.address() as AddressInfo;
      const pool = new ConnectionPool({host: HOST, port});
      const exchange = pool.send({method, path: '/', headers: []}, true);
      const timer = setTimeout(() => exchange.cancel('late'), CANCEL_AFTER_MS);
      let received: string | undefined = '';
      for (;;) {
        const chunk = await exchange.read();
        if (!chunk.ok) received = undefined;
        if (!chunk.ok || !chunk.value) break;
        received += String(chunk.value);
      }
      clearTimeout(timer);
      assert.equal(received, body);
    });
  }
});
