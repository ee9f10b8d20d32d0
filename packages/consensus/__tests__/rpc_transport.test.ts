import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {closeSync, mkdtempSync, openSync} from 'node:fs';
import {open, type FileHandle} from 'node:fs/promises';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {rpcBuilder, serveRpc} from '@vanillamux/rpc';
import {listen} from '@vanillamux/shared';
import {
  createRaftRouter,
  EntryKind,
  RpcTransport,
  type AppendReply,
  type AppendRequest,
  type Member,
  type RaftNode,
} from '../src/index.js';
import {createMember} from './test_group.js';

/** Threads of libuv, which compress messages. */
const THREADS = 4;
const TIMEOUT_MS = 5_000;

const HEARTBEAT: AppendRequest = {
  term: 1,
  leaderId: 'a/1',
  previousIndex: 0,
  previousTerm: 0,
  entries: [],
  commitIndex: 0,
};
const ENTRY: AppendRequest = {
  ...HEARTBEAT,
  entries: [
    {index: 1, term: 1, kind: EntryKind.Command, data: 'x'.repeat(100_000)},
  ],
};

/** Occupies all threads that compress messages until `release` is called. */
class BusyThreads {
  private readonly path = join(mkdtempSync(join(tmpdir(), 'vmux-')), 'pipe');
  private readonly opened: Array<Promise<FileHandle>>;

  constructor() {
    execFileSync('mkfifo', [this.path]);
    // To open a pipe for reading takes until it is opened for writing.
    this.opened = Array.from({length: THREADS}, () => open(this.path, 'r'));
  }

  async release(): Promise<void> {
    const writer = openSync(this.path, 'w');
    for (const handle of await Promise.all(this.opened)) await handle.close();
    closeSync(writer);
  }
}

describe('RpcTransport', () => {
  const transport = new RpcTransport('a');
  let server: Server;
  let close: () => void;
  let peer: Member;

  /** Acknowledges each request. */
  async function handleAppend({entries}: AppendRequest): Promise<AppendReply> {
    return {term: 1, accepted: true, matchIndex: entries.length, retryFrom: 0};
  }

  before(async () => {
    peer = createMember('b/1');
    const node = {selfId: peer.id, handleAppend} as unknown as RaftNode;
    const raft = createRaftRouter(() => node);
    server = createServer();
    close = serveRpc(server, rpcBuilder.router({raft}));
    await listen(server, {host: '127.0.0.1', port: 0});
    const {port} = server.address() as AddressInfo;
    peer = {...peer, address: {host: '127.0.0.1', port}};
  });

  after(() => {
    transport.close();
    close();
    server.close();
  });

  it('lets a heartbeat pass an entry that waits to be compressed', async () => {
    for (const request of [HEARTBEAT, ENTRY])
      assert.ok((await transport.append(peer, request, TIMEOUT_MS)).ok);
    const threads = new BusyThreads();
    const entry = transport.append(peer, ENTRY, 2 * TIMEOUT_MS);
    const heartbeat = await transport.append(peer, HEARTBEAT, TIMEOUT_MS);
    await threads.release();
    assert.ok(heartbeat.ok);
    assert.ok((await entry).ok);
  });
});
