import {createHash} from 'node:crypto';
import {
  CommandKind,
  ControlState,
  SettleOutcome,
  type Command,
} from '@vanillamux/control';
import {
  BackendDirectory,
  BackendHealth,
  DeclarationIndex,
} from '@vanillamux/entry';
import {
  BackendTable,
  DeltaOutbox,
  PeerInFlightTracker,
} from '@vanillamux/membership';
import {
  BackendKind,
  BackendState,
  EMPTY_CHAIN_HASH,
  hashRecordEntry,
  RecordKind,
  type Announcement,
  type Declarations,
} from '@vanillamux/protocol';
import {
  EstimatedFirstTokenPolicy,
  InFlightTracker,
  PrefixIndex,
} from '@vanillamux/routing';
import {EventKind, monotonicMs, Timeline} from '@vanillamux/shared';
import {fitLine} from './fit_line.js';
import {percentile} from './percentile.js';
import {printFigures, type Figure} from './print_figures.js';

const US_PER_MS = 1_000;
const DECISIONS = 2_000;
const MODEL = 'parcel-7b';

/** Measures how memory and processor time grow with the size of the state. */
export function measureState(): void {
  printFigures('Routing decision, p50', measureRoutingDecisions());
  printFigures('Declarations in an entry host', measureDeclarations());
  printFigures('Membership in an entry host', measureMembership());
  printFigures('At-most-once register', measureAtMostOnceRegister());
  printFigures('Record and time line', measureRecords());
}

/** Measures whole decisions: candidate lookup, their views, the choice. */
function measureRoutingDecisions(): Figure[] {
  const policy = new EstimatedFirstTokenPolicy();
  return [
    [20, 3],
    [300, 4],
    [1_500, 19],
  ].map(([backends, domains]) => {
    const directory = createDirectory(backends!, domains!);
    const times: number[] = [];
    for (let round = 0; round < DECISIONS; round++) {
      const startMs = monotonicMs();
      const candidates = directory.findCandidates({
        model: MODEL,
        memoryTokens: 2_000,
        excludedIds: new Set(),
      });
      policy.choose(
        {
          requestId: 'r',
          promptTokens: 2_000 + round,
          maxTokens: 64,
          priority: 1,
          cachedTokensOn: () => 0,
        },
        candidates,
      );
      times.push((monotonicMs() - startMs) * US_PER_MS);
    }
    const label = `${backends} backend servers in ${domains} failure domains`;
    return {label, value: percentile(times, 0.5), unit: 'us'};
  });
}

function createDirectory(backends: number, domains: number): BackendDirectory {
  const table = new BackendTable();
  const inFlightTracker = new InFlightTracker();
  for (let index = 0; index < backends; index++) {
    const failureDomain = `fd-${index % domains}`;
    table.apply({
      ...createAnnouncement(index, 1),
      failureDomain,
      leaseMs: 60_000,
    });
    inFlightTracker.add({
      backendId: `engine-${index}`,
      priority: 1,
      prefillTokens: (index * 977) % 9_000,
      heldTokens: 9_000,
    });
  }
  return new BackendDirectory({
    failureDomain: 'fd-0',
    table,
    inFlightTracker,
    peerLoads: new PeerInFlightTracker(),
    health: new BackendHealth(),
    declarations: {current: new DeclarationIndex()},
  });
}

function measureDeclarations(): Figure[] {
  const memory: Array<[number, number]> = [];
  const buildTimes: Array<[number, number]> = [];
  const jsonBytes: Array<[number, number]> = [];
  for (const workspaces of [1_000, 4_000, 8_400]) {
    const text = JSON.stringify(createDeclarations(workspaces));
    jsonBytes.push([workspaces, text.length]);
    const before = collectAndReadHeap();
    const startMs = monotonicMs();
    const document = JSON.parse(text) as Declarations;
    const index = new DeclarationIndex({
      version: 1,
      document,
      acceptedAtMs: 0,
      operator: '',
    });
    buildTimes.push([workspaces, monotonicMs() - startMs]);
    memory.push([workspaces, collectAndReadHeap() - before]);
    if (index.findWorkspace('nobody')) throw new Error('unexpected workspace');
  }
  return [
    createSlopeFigure('memory per workspace', memory, 'bytes'),
    createSlopeFigure('JSON per workspace', jsonBytes, 'bytes'),
    createSlopeFigure(
      'parse and index per workspace',
      buildTimes,
      'us',
      US_PER_MS,
    ),
  ];
}

function createDeclarations(workspaces: number): Declarations {
  return {
    workspaces: Array.from({length: workspaces}, (_, index) => ({
      name: `workspace-${index}`,
      keys: [
        `sha256:${createHash('sha256').update(String(index)).digest('hex')}`,
      ],
      weight: 1,
      concurrency: 64,
      tokensPerSecond: 10_000,
    })),
    classes: [],
    routing: [],
    services: [],
    backends: [],
  };
}

function measureMembership(): Figure[] {
  const memory: Array<[number, number]> = [];
  const applyTimes: Array<[number, number]> = [];
  const announcementBytes: Array<[number, number]> = [];
  const loadBytes: Array<[number, number]> = [];
  const inFlightBytes: Array<[number, number]> = [];
  for (const backends of [79, 300, 1_500]) {
    const before = collectAndReadHeap();
    const table = new BackendTable();
    const outbox = new DeltaOutbox();
    const announceAll = (sequence: number): void => {
      for (let index = 0; index < backends; index++) {
        const announcement = createAnnouncement(index, sequence);
        table.apply(announcement);
        outbox.add(announcement, monotonicMs());
      }
    };
    announceAll(1);
    announcementBytes.push([
      backends,
      jsonLength(outbox.takeBatch('e', false, [])),
    ]);
    const startMs = monotonicMs();
    announceAll(2);
    applyTimes.push([backends, monotonicMs() - startMs]);
    loadBytes.push([backends, jsonLength(outbox.takeBatch('e', false, []))]);
    const work = Array.from({length: backends}, (_, index) => ({
      backendId: `engine-${index}`,
      requests: 3,
      heldTokens: 12_345,
      prefillByPriority: [0, 4_321, 0, 0, 0, 0, 0, 0, 0, 0],
    }));
    const delta = outbox.takeBatch('e', false, work);
    inFlightBytes.push([backends, jsonLength(delta)]);
    new PeerInFlightTracker().apply(delta);
    memory.push([backends, collectAndReadHeap() - before]);
    if (table.list().length !== backends)
      throw new Error('table lacks backend servers');
  }
  const prefixes = new PrefixIndex();
  const before = collectAndReadHeap();
  const blocks = Array.from({length: 20_000}, (_, index) =>
    (index * 2_654_435_761).toString(16),
  );
  prefixes.addBlocks('engine-1', blocks);
  const perBlock = (collectAndReadHeap() - before) / blocks.length;
  prefixes.removeBackend('engine-1');
  return [
    createSlopeFigure('memory per backend server', memory, 'bytes'),
    createSlopeFigure('apply one announcement', applyTimes, 'us', US_PER_MS),
    createSlopeFigure(
      'whole announcement on the wire',
      announcementBytes,
      'bytes',
    ),
    createSlopeFigure('load report on the wire', loadBytes, 'bytes'),
    createSlopeFigure('in-flight report on the wire', inFlightBytes, 'bytes'),
    {label: 'memory per known prefix block', value: perBlock, unit: 'bytes'},
  ];
}

function createAnnouncement(index: number, sequence: number): Announcement {
  return {
    id: `engine-${index}`,
    incarnation: 1_764_800_000_000,
    sequence,
    kind: BackendKind.Model,
    address: {host: '10.0.0.1', port: 8_000},
    failureDomain: 'ee-south-a',
    models: [MODEL],
    memoryTokens: 450_000,
    prefillTokensPerSecond: 40_000,
    decodeStepMs: 8,
    chunkTokens: 2_048,
    state: BackendState.Ready,
    leaseMs: 2_000,
    load: {
      queuedPrefillTokens: 1_234 + sequence,
      runningStreams: 12,
      freeTokens: 345_678,
    },
    cache: {stored: [], evicted: []},
  };
}

function measureAtMostOnceRegister(): Figure[] {
  const memory: Array<[number, number]> = [];
  const snapshotBytes: Array<[number, number]> = [];
  const applyTimes: Array<[number, number]> = [];
  for (const keys of [10_000, 30_000, 90_000]) {
    const before = collectAndReadHeap();
    const state = new ControlState();
    const startMs = monotonicMs();
    for (let index = 0; index < keys; index++) reserveAndSettle(state, index);
    applyTimes.push([keys, monotonicMs() - startMs]);
    memory.push([keys, collectAndReadHeap() - before]);
    snapshotBytes.push([keys, state.snapshot().length]);
  }
  return [
    createSlopeFigure(
      'memory per settled key, answer of 100 bytes',
      memory,
      'bytes',
    ),
    createSlopeFigure('snapshot per settled key', snapshotBytes, 'bytes'),
    createSlopeFigure('apply reserve and settle', applyTimes, 'us', US_PER_MS),
  ];
}

/** Reserves and settles one key with commands as the log applies them. */
function reserveAndSettle(state: ControlState, index: number): void {
  const key = {
    workspace: `workspace-${index % 8_400}`,
    service: 'claims',
    key: `claim-${index}`,
    requestId: `entry-1-dcd16465-cf6f-4fa3-9fdb-${index}`,
    atMs: index,
  };
  const digest = createHash('sha256').update(key.key).digest('hex');
  const reserve: Command = {
    kind: CommandKind.Reserve,
    ...key,
    digest,
    entry: 'entry-1',
    leaseMs: 15_000,
    retentionMs: 600_000,
  };
  const settle: Command = {
    kind: CommandKind.Settle,
    ...key,
    outcome: SettleOutcome.Done,
    answer: {
      status: 200,
      contentType: 'application/json',
      body: 'x'.repeat(100),
    },
    operator: '',
  };
  state.apply(JSON.stringify(reserve));
  state.apply(JSON.stringify(settle));
}

function measureRecords(): Figure[] {
  const entry = {
    chain: 'entry-1/1764800000000',
    sequence: 12_345,
    at: '2026-12-03T22:48:07.047Z~00001',
    previousHash: EMPTY_CHAIN_HASH,
    kind: RecordKind.Admitted,
    failureDomain: 'ee-south-a',
    requestId: 'entry-1-dcd16465-cf6f-4fa3-9fdb-617e8d273dfc',
    workspace: 'viljandi',
    class: 'filing-rush',
    target: MODEL,
    promptTokens: 2_345,
    version: 17,
    rule: 'parcel-7b<=16000',
    candidates: Array.from({length: 4}, (_, index) => ({
      backend: `ee-south-a-${index}`,
      estimateMs: 45,
      queuedTokens: 1_234,
      cachedTokens: 512,
    })),
  };
  const rounds = 20_000;
  const startMs = monotonicMs();
  for (let round = 0; round < rounds; round++) hashRecordEntry(entry);
  const hashUs = ((monotonicMs() - startMs) / rounds) * US_PER_MS;
  const timeline = new Timeline({host: 'e', failureDomain: 'f'});
  const before = collectAndReadHeap();
  const eventStartMs = monotonicMs();
  for (let round = 0; round < rounds; round++) {
    timeline.add(EventKind.Admitted, 'viljandi filing-rush', entry.requestId);
  }
  const eventUs = ((monotonicMs() - eventStartMs) / rounds) * US_PER_MS;
  const timelineBytes = collectAndReadHeap() - before;
  return [
    {label: 'admission in the record', value: jsonLength(entry), unit: 'bytes'},
    {label: 'chain one entry', value: hashUs, unit: 'us'},
    {label: 'one event on the time line', value: eventUs, unit: 'us'},
    {
      label: `memory of a full time line (${timeline.events().length} events)`,
      value: timelineBytes,
      unit: 'bytes',
    },
  ];
}

function createSlopeFigure(
  label: string,
  points: ReadonlyArray<readonly [number, number]>,
  unit: string,
  scale = 1,
): Figure {
  return {label, value: fitLine(points).slope * scale, unit};
}

function jsonLength(value: unknown): number {
  return JSON.stringify(value).length;
}

function collectAndReadHeap(): number {
  const {gc} = globalThis as {gc?: () => void};
  if (!gc) throw new Error('run Node with --expose-gc');
  gc();
  return process.memoryUsage().heapUsed;
}
