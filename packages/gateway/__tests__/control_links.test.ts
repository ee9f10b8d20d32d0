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
import {
  Deferred,
  formatAddress,
  listen,
  sleep,
  type Address,
} from '@vanillamux/shared';
import type {AnyRouter} from '@trpc/server';
import {z} from 'zod';
import {ControlLinks, LinkListener} from '../src/index.js';

const HOSTS = 3;
const POLL_MS = 20;
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
  readonly left: string[] = [];
  private readonly contacts: string[] = [];

  get version(): number {
    return this.documents.at(-1)?.version ?? -1;
  }

  onReports(batch: {readonly reports: readonly Presence[]}): void {
    this.reports.push(...batch.reports);
  }

  onControlHostLeft(host: string): void {
    this.left.push(host);
  }

  contactsFrom(host: string): number {
    return this.contacts.filter(from => from === host).length;
  }

  onEvacuation(): void {}

  onDocument(received: PublishedDocument): void {
    this.documents.push(received);
  }

  onContact(contact: {
    readonly from: string;
    readonly peers?: readonly EntryPeer[];
  }): void {
    this.peers = contact.peers ?? this.peers;
    this.contacts.push(contact.from);
    if (new Set(this.contacts).size === HOSTS) this.isUpdated.resolve();
  }
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await sleep(POLL_MS);
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
    return Promise.all(Array.from({length: HOSTS}, () => serveFeed(feed)));
  }

  async function serveFeed(feed: AnyRouter): Promise<Address> {
    const server = createServer();
    servers.push(server);
    closers.push(serveRpc(server, rpcBuilder.router({feed})));
    await listen(server, {host: '127.0.0.1', port: 0});
    const {port} = server.address() as AddressInfo;
    return {host: '127.0.0.1', port};
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

  // A control host outside of the group acknowledged reports that nobody heard.
  it('stay open to a control host that has left the group, while it responds', async () => {
    const listener = new RecordingListener();
    const hosts: Address[] = [];
    let members = hosts;
    const feed = rpcBuilder.router({
      wait: rpcBuilder.procedure.input(earlierRequestSchema).query(async () => {
        await sleep(POLL_MS);
        return {
          registryId: 'r',
          position: 1,
          version: -1,
          isCurrent: true,
          control: members.map(at => ({address: at, failureDomain: 'fd'})),
          peersVersion: 1,
          reports: [],
        };
      }),
    });
    for (let at = 0; at < HOSTS; at++) hosts.push(await serveFeed(feed));
    const links = new ControlLinks({entry, seeds: hosts, listener});
    links.start();
    await listener.isUpdated.promise;
    const left = formatAddress(hosts[0]!);
    members = hosts.slice(1);
    links.replaceSeeds(members);
    const contacts = listener.contactsFrom(left);
    await waitUntil(() => listener.contactsFrom(left) > contacts + HOSTS);
    assert.deepEqual(listener.left, []);
    assert.deepEqual(
      [...links.hosts()].sort(),
      members.map(formatAddress).sort(),
    );
    closers[0]!();
    await waitUntil(() => listener.left.length > 0);
    links.stop();
    assert.deepEqual(listener.left, [left]);
  });
});
