import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Arrival} from './arrival.js';
import type {LoadSpec, LoadStream} from './load_spec.js';

const MS_PER_SECOND = 1_000;
/** Each stream draws from its own source, so that one does not move others. */
const STREAM_SEED_STEP = 7_919;

/**
 * Plans every arrival of an experiment in advance: a Poisson process per
 * stream. The plan does not depend on answers, so slow answers cannot hide
 * load (coordinated omission).
 */
export function planArrivals(spec: LoadSpec): Arrival[] {
  const arrivals = spec.streams.flatMap((stream, index) =>
    planStream(spec, stream, spec.seed + index * STREAM_SEED_STEP),
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function planStream(
  spec: LoadSpec,
  stream: LoadStream,
  seed: number,
): Arrival[] {
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const endSecond = Math.min(stream.toSecond ?? Infinity, spec.durationSeconds);
  const arrivals: Arrival[] = [];
  let second = stream.fromSecond;
  for (;;) {
    second += -Math.log(1 - random()) / stream.requestsPerSecond;
    if (second >= endSecond) return arrivals;
    arrivals.push({
      atMs: second * MS_PER_SECOND,
      stream,
      promptTokens: samplePromptTokens(stream, random()),
      sequence: arrivals.length,
    });
  }
}

function samplePromptTokens(stream: LoadStream, fraction: number): number {
  const {minPromptTokens, maxPromptTokens} = stream;
  const ratio = maxPromptTokens / minPromptTokens;
  return Math.round(minPromptTokens * ratio ** fraction);
}
