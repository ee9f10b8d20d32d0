import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {EngineClient} from '@vanillamux/entry';
import {ApiClient, Fleet, waitUntilServing} from '@vanillamux/fleet';
import {estimateTokens, FrameKind} from '@vanillamux/protocol';
import {monotonicMs, type Address} from '@vanillamux/shared';
import {fitLine} from './fit_line.js';
import {percentile} from './percentile.js';
import {printFigures, type Figure} from './print_figures.js';
import {readProcessUsage} from './process_usage.js';

const LATENCY_REQUESTS = 200;
const CONCURRENCY = 64;
const THROUGHPUT_REQUESTS = 4_000;
const TOKEN_REQUESTS = 640;
const MIB = 1_024 * 1_024;
const MODEL = 'parcel-7b';
const PROMPT = 'x'.repeat(4_000);

/** Measures the latency that an entry host adds, and its throughput. */
export async function measureEntry(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-measure-'));
  const fleet = await Fleet.create({
    folder,
    failureDomains: ['fd-a'],
    controlHostCount: 1,
    engineCount: 2,
    // Fast engines, so that the entry host is the bottleneck.
    engineCost: {
      prefillTokensPerSecond: 100_000_000,
      decodeStepMs: 0.1,
      decodeStepPerStreamMs: 0.0001,
    },
  });
  fleet.start();
  const session = fleet.openSession('measure');
  const serving = await waitUntilServing(fleet, session, 'examples/poldtoetus');
  if (!serving.ok) throw serving.error;
  const [entry, engine] = [fleet.entryHosts[0]!, fleet.engines[0]!];
  const caller = new ApiClient(entry.address);
  const entryMs = await measureEntryLatency(caller);
  const engineMs = await measureEngineLatency(engine.address);
  const throughput = await measureThroughput(caller, entry.process.pid!);
  const tokenCost = await measureTokenCost(caller, entry.process.pid!);
  const resident = [...fleet.controlHosts, ...fleet.entryHosts, engine].map(
    ({id, process}): Figure => ({
      label: `memory of ${id} after the run`,
      value: readProcessUsage(process.pid!).residentBytes / MIB,
      unit: 'MiB',
    }),
  );
  await caller.close();
  session.close();
  await fleet.stop();
  rmSync(folder, {recursive: true});
  printFigures('Entry host', [
    {label: 'first token from the engine, p50', value: engineMs, unit: 'ms'},
    {label: 'first token through an entry, p50', value: entryMs, unit: 'ms'},
    {label: 'added by the entry, p50', value: entryMs - engineMs, unit: 'ms'},
    ...throughput,
    tokenCost,
    ...resident,
  ]);
}

async function measureEntryLatency(caller: ApiClient): Promise<number> {
  const times: number[] = [];
  for (let count = 0; count < LATENCY_REQUESTS; count++) {
    const outcome = await sendChat(caller, 1);
    times.push(outcome.timeToFirstTokenMs ?? Infinity);
  }
  return percentile(times.slice(LATENCY_REQUESTS / 4), 0.5);
}

async function measureEngineLatency(engine: Address): Promise<number> {
  const client = new EngineClient();
  const times: number[] = [];
  for (let count = 0; count < LATENCY_REQUESTS; count++) {
    const startMs = monotonicMs();
    const stream = await client.generate(
      engine,
      {
        requestId: `direct-${count}`,
        attempt: 1,
        model: MODEL,
        prompt: PROMPT,
        promptTokens: estimateTokens(PROMPT),
        blocks: [],
        maxTokens: 1,
        deliveredTokens: 0,
        priority: 1,
        leaseMs: 2_000,
      },
      AbortSignal.timeout(10_000),
    );
    if (!stream.ok) throw stream.error;
    for await (const frame of stream.value) {
      if (frame.kind !== FrameKind.Token) continue;
      times.push(monotonicMs() - startMs);
    }
  }
  await client.close();
  return percentile(times.slice(LATENCY_REQUESTS / 4), 0.5);
}

/** Measures the processor time per output token from responses of 3 lengths. */
async function measureTokenCost(
  caller: ApiClient,
  pid: number,
): Promise<Figure> {
  const points: Array<[number, number]> = [];
  for (const maxTokens of [1, 64, 256]) {
    const before = readProcessUsage(pid);
    for (let count = 0; count < TOKEN_REQUESTS; count += CONCURRENCY) {
      await Promise.all(
        Array.from({length: CONCURRENCY}, () => sendChat(caller, maxTokens)),
      );
    }
    const {cpuSeconds} = readProcessUsage(pid);
    const perRequestMs =
      ((cpuSeconds - before.cpuSeconds) / TOKEN_REQUESTS) * 1_000;
    points.push([maxTokens, perRequestMs * 1_000]);
  }
  return {
    label: 'processor time of the entry per further token',
    value: fitLine(points).slope,
    unit: 'us',
  };
}

async function measureThroughput(
  caller: ApiClient,
  pid: number,
): Promise<Figure[]> {
  const before = readProcessUsage(pid);
  const startMs = monotonicMs();
  let remainingRequests = THROUGHPUT_REQUESTS;
  let failed = 0;
  await Promise.all(
    Array.from({length: CONCURRENCY}, async () => {
      while (remainingRequests-- > 0) {
        const outcome = await sendChat(caller, 1);
        if (outcome.status !== 200 || outcome.errorCode) failed++;
      }
    }),
  );
  const seconds = (monotonicMs() - startMs) / 1_000;
  const {cpuSeconds} = readProcessUsage(pid);
  const usedSeconds = cpuSeconds - before.cpuSeconds;
  return [
    {
      label: `requests through one entry, ${CONCURRENCY} at once`,
      value: Math.round(THROUGHPUT_REQUESTS / seconds),
      unit: '1/s',
    },
    {
      label: 'processor time of the entry per request',
      value: (usedSeconds / THROUGHPUT_REQUESTS) * 1_000,
      unit: 'ms',
    },
    {label: 'failed', value: failed, unit: 'requests'},
  ];
}

function sendChat(
  caller: ApiClient,
  maxTokens: number,
): ReturnType<ApiClient['chat']> {
  return caller.chat({
    apiKey: 'tartu-demo-key',
    model: MODEL,
    prompt: PROMPT,
    maxTokens,
  });
}
