import {build} from 'hdr-histogram-js';
import {LENGTH_BUCKETS} from './length_bucket.js';
import type {
  BucketResult,
  ApiKeyResult,
  LoadResult,
  TimeSummary,
} from './load_result.js';
import type {Sample} from './sample.js';

const HISTOGRAM_SCALE = 100;
const MS_PER_SECOND = 1_000;

/** Options of `summarize`. */
export interface SummaryOptions {
  /** Length of the experiment with its warm-up. */
  readonly durationSeconds: number;
  readonly warmUpSeconds: number;
  /** Prefill rate of one engine, for the unloaded time. */
  readonly prefillTokensPerSecond: number;
}

/** Summarizes the samples of an experiment. */
export function summarize(
  samples: readonly Sample[],
  options: SummaryOptions,
): LoadResult {
  const completed = samples.filter(({error}) => error === undefined);
  const refused = samples.filter(
    ({error, firstTokenMs}) =>
      error !== undefined && firstTokenMs === undefined,
  );
  // What ends after the last arrival would count capacity that the fleet has
  // only while nothing new comes.
  const endMs = options.durationSeconds * MS_PER_SECOND;
  const tokens = completed
    .filter(sample => sample.arrival.atMs + sample.endMs <= endMs)
    .reduce((sum, {arrival}) => sum + arrival.promptTokens, 0);
  const countedSeconds = options.durationSeconds - options.warmUpSeconds;
  return {
    sent: samples.length,
    completed: completed.length,
    durationSeconds: countedSeconds,
    buckets: summarizeBuckets(samples, options.prefillTokensPerSecond),
    keys: summarizeKeys(completed),
    errors: countErrors(samples),
    refusal: summarizeTimes(refused.map(({endMs}) => endMs)),
    goodputTokensPerSecond: Math.round(tokens / countedSeconds),
  };
}

function summarizeBuckets(
  samples: readonly Sample[],
  prefillTokensPerSecond: number,
): BucketResult[] {
  let minTokens = 0;
  return LENGTH_BUCKETS.flatMap(({name, maxTokens}) => {
    const inBucket = samples.filter(
      ({arrival: {promptTokens}}) =>
        promptTokens > minTokens && promptTokens <= maxTokens,
    );
    minTokens = maxTokens;
    if (inBucket.length === 0) return [];
    const started = inBucket.filter(
      ({firstTokenMs}) => firstTokenMs !== undefined,
    );
    const stretches = started.map(({arrival, firstTokenMs}) => {
      const seconds = arrival.promptTokens / prefillTokensPerSecond;
      return firstTokenMs! / (seconds * MS_PER_SECOND);
    });
    return [
      {
        bucket: name,
        sent: inBucket.length,
        completed: inBucket.filter(({error}) => error === undefined).length,
        firstToken: summarizeTimes(
          started.map(({firstTokenMs}) => firstTokenMs!),
        ),
        stretchP95: summarizeTimes(stretches).p95,
      },
    ];
  });
}

function summarizeKeys(completed: readonly Sample[]): ApiKeyResult[] {
  const keys = new Map<string, {completed: number; promptTokens: number}>();
  for (const {arrival} of completed) {
    const {apiKey} = arrival.stream;
    const key = keys.get(apiKey) ?? {completed: 0, promptTokens: 0};
    key.completed++;
    key.promptTokens += arrival.promptTokens;
    keys.set(apiKey, key);
  }
  return [...keys].map(([apiKey, key]) => ({apiKey, ...key}));
}

function countErrors(samples: readonly Sample[]): Record<string, number> {
  const errors: Record<string, number> = {};
  for (const {error} of samples) {
    if (error !== undefined) errors[error] = (errors[error] ?? 0) + 1;
  }
  return errors;
}

function summarizeTimes(times: readonly number[]): TimeSummary {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const time of times) {
    histogram.recordValue(Math.max(0, Math.round(time * HISTOGRAM_SCALE)));
  }
  const valueAt = (percentile: number): number =>
    times.length === 0
      ? 0
      : histogram.getValueAtPercentile(percentile) / HISTOGRAM_SCALE;
  return {
    count: times.length,
    p50: valueAt(50),
    p95: valueAt(95),
    p99: valueAt(99),
    max: valueAt(100),
  };
}
