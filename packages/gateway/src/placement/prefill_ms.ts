import type {EngineSpec} from '../config/engine_spec.js';

const PAIRS_PER_UNIT = 1_000_000;

/** Time that one idle engine needs to process a prompt, in milliseconds. */
export function prefillMs(spec: EngineSpec, tokens: number): number {
  const pairs = (tokens * tokens) / 2;
  return (
    tokens / spec.prefillTokensPerMs +
    (pairs / PAIRS_PER_UNIT) * spec.prefillMsPerMillionPairs
  );
}
