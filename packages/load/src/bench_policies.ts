import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Fleet, waitUntilServing} from '@vanillamux/fleet';
import type {PolicyName} from '@vanillamux/routing';
import type {LoadResult} from './load_result.js';
import type {LoadSpec, LoadStream} from './load_spec.js';
import {runLoad} from './run_load.js';
import {summarize} from './summarize.js';

const ENGINES = 15;
const PREFILL_RATE = 40_000;
const CHUNK_TOKENS = 2_048;
const DEFAULT_UTILIZATION = 0.7;
const LONG_PROMPT_SHARE = 0.5;
const MEAN_SHORT_TOKENS = 2_164;
const MEAN_LONG_TOKENS = 144_000;
const DEFAULT_DURATION_SECONDS = 20;
const DEFAULT_SEED = 7;

/** Options of `benchPolicies`. */
export interface BenchOptions {
  readonly policies: readonly PolicyName[];
  readonly durationSeconds?: number;
  readonly seed?: number;
  /** Offered load as a share of the prefill capacity of the fleet. */
  readonly utilization?: number;
}

/** Results of one routing policy. */
export interface PolicyResult {
  readonly policy: PolicyName;
  /** Short and long prompts together. */
  readonly mixed: LoadResult;
  /** The same short prompts without the long ones. */
  readonly shortOnly: LoadResult;
}

/** Runs the same arrivals on a new fleet of processes for each policy. */
export async function benchPolicies(
  options: BenchOptions,
): Promise<PolicyResult[]> {
  const results: PolicyResult[] = [];
  for (const policy of options.policies) {
    const spec = createLoadSpec(options);
    const shortSpec = {...spec, streams: spec.streams.slice(0, 2)};
    results.push({
      policy,
      mixed: await runExperiment(policy, spec),
      shortOnly: await runExperiment(policy, shortSpec),
    });
  }
  return results;
}

function createLoadSpec(options: BenchOptions): LoadSpec {
  const tokensPerSecond =
    ENGINES * PREFILL_RATE * (options.utilization ?? DEFAULT_UTILIZATION);
  const shortRate =
    (tokensPerSecond * (1 - LONG_PROMPT_SHARE)) / MEAN_SHORT_TOKENS;
  const longRate = (tokensPerSecond * LONG_PROMPT_SHARE) / MEAN_LONG_TOKENS;
  const commonSettings = {
    model: 'parcel-7b',
    answerTokens: 16,
    sharedPrefixTokens: 0,
    fromSecond: 0,
  };
  const createShortStream = (name: string): LoadStream => ({
    ...commonSettings,
    name,
    apiKey: `${name}-demo-key`,
    requestsPerSecond: shortRate / 2,
    minPromptTokens: 1_000,
    maxPromptTokens: 4_000,
  });
  return {
    seed: options.seed ?? DEFAULT_SEED,
    durationSeconds: options.durationSeconds ?? DEFAULT_DURATION_SECONDS,
    warmUpSeconds: 2,
    streams: [
      createShortStream('viljandi'),
      createShortStream('county-reviews'),
      {
        ...commonSettings,
        name: 'long',
        apiKey: 'tartu-demo-key',
        requestsPerSecond: longRate,
        minPromptTokens: 50_000,
        maxPromptTokens: 300_000,
      },
    ],
  };
}

async function runExperiment(
  policy: PolicyName,
  spec: LoadSpec,
): Promise<LoadResult> {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-bench-'));
  const fleet = await Fleet.create({
    folder,
    failureDomains: ['fd-a', 'fd-b', 'fd-c'],
    engineCount: ENGINES,
    models: ['parcel-7b'],
    engineCost: {
      prefillTokensPerSecond: PREFILL_RATE,
      chunkTokens: CHUNK_TOKENS,
    },
    entrySettings: {policy, drainNoticeMs: 0},
  });
  fleet.start();
  const session = fleet.openSession('bench');
  const serving = await waitUntilServing(fleet, session, 'examples/poldtoetus');
  if (!serving.ok) throw serving.error;
  const samples = await runLoad(
    spec,
    fleet.entryHosts.map(({address}) => address),
  );
  session.close();
  await fleet.stop();
  rmSync(folder, {recursive: true});
  return summarize(samples, {
    durationSeconds: spec.durationSeconds,
    warmUpSeconds: spec.warmUpSeconds,
    prefillTokensPerSecond: PREFILL_RATE,
  });
}
