import type {EngineSpec} from '../config/engine_spec.js';

const PAIRS_PER_MILLION = 1_000_000;

/**
 * Time that one idle engine needs to process prompt tokens, in milliseconds.
 * `pairs` are those of a token and an earlier one; by default all of a prompt.
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
