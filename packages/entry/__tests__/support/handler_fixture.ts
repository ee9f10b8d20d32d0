import {createHash} from 'node:crypto';
import type {Server} from 'node:http';
import {Recorder, type RecordSink} from '@vanillamux/control';
import {HybridClock, listen, succeed, Timeline} from '@vanillamux/shared';
import type {DeclaredVersion} from '@vanillamux/protocol';
import type {RoutingDecision} from '@vanillamux/routing';
import type {AtMostOnceRunner} from '../../src/at_most_once_runner.js';
import type {BackendDirectory} from '../../src/backend_directory.js';
import type {BlockHasher} from '../../src/block_hasher.js';
import {ChatHandler} from '../../src/chat_handler.js';
import {createCallerServer} from '../../src/create_caller_server.js';
import {DeclarationIndex} from '../../src/declaration_index.js';
import type {DeclarationStore} from '../../src/declaration_store.js';
import type {EntryHost} from '../../src/entry_host.js';
import {EntryMetrics} from '../../src/entry_metrics.js';
import type {GangRunner} from '../../src/gang_runner.js';
import type {GenerationRunner} from '../../src/generation_runner.js';
import {RequestManager} from '../../src/request_manager.js';
import type {ServiceClient} from '../../src/service_client.js';
import {ServiceHandler} from '../../src/service_handler.js';

const API_KEY = 'key';
const CONCURRENCY = 1;
const CLASS = {
  priority: 1,
  deadlineMs: 10_000,
  concurrency: 64,
  queue: 64,
  shedOrder: 1,
};

/** Headers of a request of the only workspace. */
export const AUTHORIZATION = {authorization: `Bearer ${API_KEY}`};

/** Components behind the handlers of a `HandlerFixture`. */
export interface HandlerFixtureOptions {
  readonly run?: GenerationRunner['run'];
  readonly send?: ServiceClient['send'];
}

/** The HTTP server for clients, whose workspace may have one request at a time. */
export class HandlerFixture {
  readonly requests: RequestManager;
  private readonly server: Server;

  constructor({run, send}: HandlerFixtureOptions) {
    const timeline = new Timeline({host: 'entry-1', failureDomain: 'fd-a'});
    const sink: RecordSink = {
      hosts: () => [],
      append: () => Promise.resolve(succeed(undefined)),
    };
    this.requests = new RequestManager({
      entryId: 'entry-1',
      recorder: new Recorder({
        entryHostId: 'entry-1',
        failureDomain: 'fd-a',
        clock: new HybridClock(),
        sink,
      }),
      timeline,
      metrics: new EntryMetrics(),
    });
    const declarations = {current: createIndex()} as DeclarationStore;
    const common = {
      declarations,
      requests: this.requests,
      maxBodyBytes: 1_000_000,
    };
    const host: Pick<
      EntryHost,
      'declarations' | 'chatHandler' | 'serviceHandler'
    > = {
      declarations,
      chatHandler: new ChatHandler({
        ...common,
        generationRunner: {
          chooseBackend: () => succeed(createDecision()),
          run,
        } as unknown as GenerationRunner,
        gangRunner: {} as GangRunner,
        blockHasher: {hashBlocks: () => []} as unknown as BlockHasher,
      }),
      serviceHandler: new ServiceHandler({
        ...common,
        directory: {
          listServiceBackends: () => [{announcement: {id: 'service-1'}}],
        } as unknown as BackendDirectory,
        serviceClient: {send} as unknown as ServiceClient,
        atMostOnceRunner: {} as AtMostOnceRunner,
      }),
    };
    this.server = createCallerServer(host as EntryHost);
  }

  /** Starts listening; returns the URL. */
  async start(): Promise<string> {
    const port = await listen(this.server, {host: '127.0.0.1', port: 0});
    if (!port.ok) throw port.error;
    return `http://127.0.0.1:${port.value}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

function createIndex(): DeclarationIndex {
  const digest = createHash('sha256').update(API_KEY).digest('hex');
  return new DeclarationIndex({
    version: 1,
    document: {
      classes: [{...CLASS, name: 'rush'}],
      routing: [{model: 'm', class: 'rush'}],
      services: [
        {name: 'claims', class: 'rush', retentionMs: 1_000, atMostOnce: []},
      ],
      backends: [],
      workspaces: [
        {
          name: 'tartu',
          keys: [`sha256:${digest}`],
          weight: 1,
          concurrency: CONCURRENCY,
        },
      ],
    },
  } as unknown as DeclaredVersion);
}

function createDecision(): RoutingDecision {
  return {
    backend: {id: 'engine-1', decodeStepMs: 1} as RoutingDecision['backend'],
    estimateMs: 0,
    cachedTokens: 0,
    candidates: [],
  };
}
