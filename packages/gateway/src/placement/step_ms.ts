import type {EngineSpec} from '../config/engine_spec.js';

const TOKENS_PER_THOUSAND = 1_000;

/** Duration of one decoding step without prefill. */
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
