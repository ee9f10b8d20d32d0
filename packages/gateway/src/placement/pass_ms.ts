import type {EngineSpec} from '../config/engine_spec.js';

const TOKENS_PER_UNIT = 1_000;

/** Time of a pass of decoding steps without prompt processing. */
export function passMs(
  spec: EngineSpec,
  sequences: number,
  contextTokens: number,
): number {
  const stepMs =
    spec.stepMs +
    sequences * spec.stepMsPerSequence +
    (contextTokens / TOKENS_PER_UNIT) * spec.stepMsPerThousandTokens;
  return stepMs * spec.stepsPerPass;
}
