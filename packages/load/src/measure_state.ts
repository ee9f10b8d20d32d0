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
import {fitSlope} from './fit_slope.js';
import {percentile} from './percentile.js';
import {printFigures, type Figure} from './print_figures.js';

const US_PER_MS = 1_000;
const ROUNDS = 2_000;
const MODEL = 'parcel-7b';

/** Measures memory and processor time of state against its size. */
export function measureState(): void {
  printFigures('Routing decision, p50', measureDecisions());
  printFigures('Declarations in an entry host', measureDeclarations());
  printFigures('Membership in an entry host', measureMembership());
  printFigures('At-most-once register', measureRegister());
  printFigures('Record and time line', measureRecords());
}

/** A whole decision: look-up of the candidates, their views, the choice. */
function measureDecisions(): Figure[] {
  const policy = new EstimatedFirstTokenPolicy();
  return [
    [20, 3],
    [300, 4],
    [1_500, 19],
  ].map(([backends, domains]) => {
    const directory = createDirectory(backends!, domains!);
    const times: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
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
    const what = `${backends} backend servers in ${domains} failure domains`;
    return {what, value: percentile(times, 0.5), unit: 'us'};
  });
}

function createDirectory(backends: number, domains: number): BackendDirectory {
  const table = new BackendTable();
  const ledger = new InFlightTracker();
  for (let index = 0; index < backends; index++) {
    const failureDomain = `fd-${index % domains}`;
    table.apply({
      ...createAnnouncement(index, 1),
      failureDomain,
      leaseMs: 60_000,
    });
    ledger.add({
      backendId: `engine-${index}`,
      priority: 1,
      prefillTokens: (index * 977) % 9_000,
      heldTokens: 9_000,
    });
  }
  return new BackendDirectory({
    failureDomain: 'fd-0',
    table,
    inFlightTracker: ledger,
    peerLoads: new PeerInFlightTracker(),
    health: new BackendHealth(),
    declarations: {current: new DeclarationIndex()},
  });
}

function measureDeclarations(): Figure[] {
  const memory: Array<[number, number]> = [];
  const build: Array<[number, number]> = [];
  const wire: Array<[number, number]> = [];
  for (const workspaces of [1_000, 4_000, 8_400]) {
    const text = JSON.stringify(createDeclarations(workspaces));
    wire.push([workspaces, text.length]);
    const before = usedHeap();
    const startMs = monotonicMs();
    const document = JSON.parse(text) as Declarations;
    const index = new DeclarationIndex({
      version: 1,
      document,
      acceptedAtMs: 0,
      operator: '',
    });
    build.push([workspaces, monotonicMs() - startMs]);
    memory.push([workspaces, usedHeap() - before]);
    if (index.findWorkspace('nobody')) throw new Error('unexpected workspace');
  }
  return [
    slope('memory per workspace', memory, 'bytes'),
    slope('JSON per workspace', wire, 'bytes'),
    slope('parse and index per workspace', build, 'us', US_PER_MS),
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
  const apply: Array<[number, number]> = [];
  const wholeBytes: Array<[number, number]> = [];
  const loadBytes: Array<[number, number]> = [];
  const inFlightBytes: Array<[number, number]> = [];
  for (const backends of [79, 300, 1_500]) {
    const before = usedHeap();
    const table = new BackendTable();
    const outbox = new DeltaOutbox();
    const announce = (sequence: number): void => {
      for (let index = 0; index < backends; index++) {
        const announcement = createAnnouncement(index, sequence);
        table.apply(announcement);
        outbox.add(announcement, monotonicMs());
      }
    };
    announce(1);
    wholeBytes.push([backends, size(outbox.takeBatch('e', false, []))]);
    const startMs = monotonicMs();
    announce(2);
    apply.push([backends, monotonicMs() - startMs]);
    loadBytes.push([backends, size(outbox.takeBatch('e', false, []))]);
    const work = Array.from({length: backends}, (_, index) => ({
      backendId: `engine-${index}`,
      requests: 3,
      heldTokens: 12_345,
      prefillByPriority: [0, 4_321, 0, 0, 0, 0, 0, 0, 0, 0],
    }));
    const delta = outbox.takeBatch('e', false, work);
    inFlightBytes.push([backends, size(delta)]);
    new PeerInFlightTracker().apply(delta);
    memory.push([backends, usedHeap() - before]);
    if (table.list().length !== backends) throw new Error('lost a backend');
  }
  const prefixes = new PrefixIndex();
  const before = usedHeap();
  const blocks = Array.from({length: 20_000}, (_, index) =>
    (index * 2_654_435_761).toString(16),
  );
  prefixes.addBlocks('engine-1', blocks);
  const perBlock = (usedHeap() - before) / blocks.length;
  prefixes.removeBackend('engine-1');
  return [
    slope('memory per backend server', memory, 'bytes'),
    slope('apply one announcement', apply, 'us', US_PER_MS),
    slope('whole announcement on the wire', wholeBytes, 'bytes'),
    slope('load report on the wire', loadBytes, 'bytes'),
    slope('in-flight report on the wire', inFlightBytes, 'bytes'),
    {what: 'memory per known prefix block', value: perBlock, unit: 'bytes'},
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

function measureRegister(): Figure[] {
  const memory: Array<[number, number]> = [];
  const snapshot: Array<[number, number]> = [];
  const apply: Array<[number, number]> = [];
  for (const keys of [10_000, 30_000, 90_000]) {
    const before = usedHeap();
    const state = new ControlState();
    const startMs = monotonicMs();
    for (let index = 0; index < keys; index++) runAtMostOnce(state, index);
    apply.push([keys, monotonicMs() - startMs]);
    memory.push([keys, usedHeap() - before]);
    snapshot.push([keys, state.snapshot().length]);
  }
  return [
    slope('memory per settled key, answer of 100 bytes', memory, 'bytes'),
    slope('snapshot per settled key', snapshot, 'bytes'),
    slope('apply reserve and settle', apply, 'us', US_PER_MS),
  ];
}

/** Reserves and settles one key, as the log would. */
function runAtMostOnce(state: ControlState, index: number): void {
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
  const before = usedHeap();
  const eventStartMs = monotonicMs();
  for (let round = 0; round < rounds; round++) {
    timeline.add(EventKind.Admitted, 'viljandi filing-rush', entry.requestId);
  }
  const eventUs = ((monotonicMs() - eventStartMs) / rounds) * US_PER_MS;
  const ringBytes = usedHeap() - before;
  return [
    {what: 'admission in the record', value: size(entry), unit: 'bytes'},
    {what: 'chain one entry', value: hashUs, unit: 'us'},
    {what: 'one event on the time line', value: eventUs, unit: 'us'},
    {
      what: `memory of a full time line (${timeline.events().length} events)`,
      value: ringBytes,
      unit: 'bytes',
    },
  ];
}

function slope(
  what: string,
  points: ReadonlyArray<readonly [number, number]>,
  unit: string,
  scale = 1,
): Figure {
  return {what, value: fitSlope(points).slope * scale, unit};
}

function size(value: unknown): number {
  return JSON.stringify(value).length;
}

function usedHeap(): number {
  const {gc} = globalThis as {gc?: () => void};
  if (!gc) throw new Error('run Node with --expose-gc');
  gc();
  return process.memoryUsage().heapUsed;
}
