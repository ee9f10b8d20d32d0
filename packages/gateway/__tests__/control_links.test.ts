import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import type {FeedUpdate, PackedDocument} from '@vanillamux/control';
import {
  PresenceState,
  type EntryPeer,
  type Presence,
  type PublishedDocument,
} from '@vanillamux/protocol';
import {packJson, rpcBuilder, serveRpc} from '@vanillamux/rpc';
import {Deferred, listen, type Address} from '@vanillamux/shared';
import {z} from 'zod';
import {ControlLinks, LinkListener} from '../src/index.js';

const HOSTS = 3;
const address = {host: '127.0.0.1', port: 1};
const entry: EntryPeer = {id: 'e', failureDomain: 'fd', address};
const document: PublishedDocument = {version: 3, digest: 'd', text: '{}'};
const peers = [entry, {...entry, id: 'f'}];
const reports: Presence[] = [
  {
    id: 's',
    incarnation: 1,
    sequence: 1,
    state: PresenceState.Ready,
    service: 'notes',
    address,
    failureDomain: 'fd',
    capacity: 4,
  },
];

/** How a build answers. */
interface Build {
  readonly name: string;
  readonly update: Partial<FeedUpdate>;
  readonly document: PublishedDocument | PackedDocument;
}

const EARLIER_BUILD: Build = {
  name: 'an earlier build',
  update: {reports, peers},
  document,
};
const THIS_BUILD: Build = {
  name: 'this build',
  update: {reports: [], packed: packJson({reports, peers})},
  document: {version: document.version, packed: packJson(document)},
};

/** Input of builds that know nothing of packed content. */
const earlierRequestSchema = z.object({
  entry: z.object({id: z.string()}),
  registryId: z.string(),
  position: z.number().int(),
  version: z.number().int(),
  waitMs: z.number().int(),
});

class RecordingListener extends LinkListener {
  readonly isUpdated = new Deferred<void>();
  readonly documents: PublishedDocument[] = [];
  readonly reports: Presence[] = [];
  readonly evacuationRevision = 0;
  readonly knownBackends = undefined;
  peers: readonly EntryPeer[] = [];
  private contacts = 0;

  get version(): number {
    return this.documents.at(-1)?.version ?? -1;
  }

  onReports(batch: {readonly reports: readonly Presence[]}): void {
    this.reports.push(...batch.reports);
  }

  onControlHostLeft(): void {}
  onEvacuation(): void {}

  onDocument(received: PublishedDocument): void {
    this.documents.push(received);
  }

  onContact(contact: {readonly peers?: readonly EntryPeer[]}): void {
    this.peers = contact.peers ?? this.peers;
    if (++this.contacts === HOSTS) this.isUpdated.resolve();
  }
}

describe('the links to control hosts', () => {
  const servers: Server[] = [];
  const closers: Array<() => void> = [];

  /** Starts control hosts that answer the first poll, and hold the next. */
  async function startHosts(build: Build): Promise<Address[]> {
    const {procedure, router} = rpcBuilder;
    const feed = router({
      wait: procedure.input(earlierRequestSchema).query(({input}) => {
        if (input.position > 0) return new Promise<never>(() => {});
        return {
          registryId: 'r',
          position: 1,
          version: document.version,
          isCurrent: false,
          control: [],
          peersVersion: 1,
          ...build.update,
        };
      }),
      document: procedure.query(() => build.document),
    });
    return Promise.all(
      Array.from({length: HOSTS}, async () => {
        const server = createServer();
        servers.push(server);
        closers.push(serveRpc(server, router({feed})));
        await listen(server, {host: '127.0.0.1', port: 0});
        const {port} = server.address() as AddressInfo;
        return {host: '127.0.0.1', port};
      }),
    );
  }

  afterEach(() => {
    for (const close of closers.splice(0)) close();
    for (const server of servers.splice(0)) server.close();
  });

  for (const build of [EARLIER_BUILD, THIS_BUILD]) {
    it(`read what control hosts of ${build.name} answer`, async () => {
      const listener = new RecordingListener();
      const seeds = await startHosts(build);
      const links = new ControlLinks({entry, seeds, listener});
      links.start();
      await listener.isUpdated.promise;
      links.stop();
      assert.deepEqual(listener.peers, peers);
      assert.deepEqual(listener.reports, [...reports, ...reports, ...reports]);
      assert.deepEqual(listener.documents[0], document);
    });
  }
});
