import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {EngineClient} from '@vanillamux/entry';
import {ApiClient, Fleet, waitUntilServing} from '@vanillamux/fleet';
import {estimateTokens, FrameKind} from '@vanillamux/protocol';
import {monotonicMs, type Address} from '@vanillamux/shared';
import {fitSlope} from './fit_slope.js';
import {percentile} from './percentile.js';
import {printFigures, type Figure} from './print_figures.js';
import {readProcessUsage} from './process_usage.js';

const REQUESTS = 200;
const PARALLEL = 64;
const PARALLEL_REQUESTS = 4_000;
const TOKEN_REQUESTS = 640;
const MIB = 1_024 * 1_024;
const MODEL = 'parcel-7b';
const PROMPT = 'x'.repeat(4_000);

/** Measures what an entry host adds to an engine, and how much it carries. */
export async function measureEntry(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-measure-'));
  const fleet = await Fleet.create({
    folder,
    failureDomains: ['fd-a'],
    controlHostCount: 1,
    engineCount: 2,
    // Fast engines, so that the host is what is measured.
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
  const through = await measureThrough(caller);
  const direct = await measureDirect(engine.address);
  const rate = await measureRate(caller, entry.process.pid!);
  const token = await measureTokens(caller, entry.process.pid!);
  const resident = [...fleet.controlHosts, ...fleet.entryHosts, engine].map(
    ({id, process}): Figure => ({
      what: `memory of ${id} after the run`,
      value: readProcessUsage(process.pid!).residentBytes / MIB,
      unit: 'MiB',
    }),
  );
  await caller.close();
  session.close();
  await fleet.stop();
  rmSync(folder, {recursive: true});
  printFigures('Entry host', [
    {what: 'first token from the engine, p50', value: direct, unit: 'ms'},
    {what: 'first token through an entry, p50', value: through, unit: 'ms'},
    {what: 'added by the entry, p50', value: through - direct, unit: 'ms'},
    ...rate,
    token,
    ...resident,
  ]);
}

async function measureThrough(caller: ApiClient): Promise<number> {
  const times: number[] = [];
  for (let count = 0; count < REQUESTS; count++) {
    const outcome = await chat(caller, 1);
    times.push(outcome.timeToFirstTokenMs ?? Infinity);
  }
  return percentile(times.slice(REQUESTS / 4), 0.5);
}

async function measureDirect(engine: Address): Promise<number> {
  const client = new EngineClient();
  const times: number[] = [];
  for (let count = 0; count < REQUESTS; count++) {
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
  return percentile(times.slice(REQUESTS / 4), 0.5);
}

/** Processor time of each further token: long answers against short ones. */
async function measureTokens(caller: ApiClient, pid: number): Promise<Figure> {
  const points: Array<[number, number]> = [];
  for (const maxTokens of [1, 64, 256]) {
    const before = readProcessUsage(pid);
    for (let count = 0; count < TOKEN_REQUESTS; count += PARALLEL) {
      await Promise.all(
        Array.from({length: PARALLEL}, () => chat(caller, maxTokens)),
      );
    }
    const {cpuSeconds} = readProcessUsage(pid);
    const perRequestMs =
      ((cpuSeconds - before.cpuSeconds) / TOKEN_REQUESTS) * 1_000;
    points.push([maxTokens, perRequestMs * 1_000]);
  }
  return {
    what: 'processor time of the entry per further token',
    value: fitSlope(points).slope,
    unit: 'us',
  };
}

async function measureRate(caller: ApiClient, pid: number): Promise<Figure[]> {
  const before = readProcessUsage(pid);
  const startMs = monotonicMs();
  let left = PARALLEL_REQUESTS;
  let failed = 0;
  await Promise.all(
    Array.from({length: PARALLEL}, async () => {
      while (left-- > 0) {
        const outcome = await chat(caller, 1);
        if (outcome.status !== 200 || outcome.errorCode) failed++;
      }
    }),
  );
  const seconds = (monotonicMs() - startMs) / 1_000;
  const {cpuSeconds} = readProcessUsage(pid);
  const usedSeconds = cpuSeconds - before.cpuSeconds;
  return [
    {
      what: `requests through one entry, ${PARALLEL} at once`,
      value: Math.round(PARALLEL_REQUESTS / seconds),
      unit: '1/s',
    },
    {
      what: 'processor time of the entry per request',
      value: (usedSeconds / PARALLEL_REQUESTS) * 1_000,
      unit: 'ms',
    },
    {what: 'failed', value: failed, unit: 'requests'},
  ];
}

function chat(
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
