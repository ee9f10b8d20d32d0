import type {EngineSpec} from '../config/engine_spec.js';

const PAIRS_PER_MILLION = 1_000_000;

/**
 * Prefill time of prompt tokens on one idle engine, in milliseconds. `pairs`
 * counts the pairs of a token and an earlier one, by default all of a prompt.
 */
export function prefillMs(
  spec: EngineSpec,
  tokens: number,
  pairs = (tokens * tokens) / 2,
): number {
  return (
    tokens / spec.prefillTokensPerMs +
    (pairs / PAIRS_PER_MILLION) * spec.prefillMsPerMillionPairs
  );
}
