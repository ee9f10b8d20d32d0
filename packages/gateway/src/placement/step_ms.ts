import type {EngineSpec} from '../config/engine_spec.js';

const TOKENS_PER_THOUSAND = 1_000;

/** Time of one decoding step without prompt processing. */
export function stepMs(
  spec: EngineSpec,
  sequences: number,
  contextTokens: number,
): number {
  return (
    spec.stepMs +
    sequences * spec.stepMsPerSequence +
    (contextTokens / TOKENS_PER_THOUSAND) * spec.stepMsPerThousandTokens
  );
}
