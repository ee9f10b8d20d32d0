import type {EngineSpec} from '../config/engine_spec.js';
import {stepMs} from './step_ms.js';

/** Time of a pass of decoding steps without prompt processing. */
export function iterationMs(
  spec: EngineSpec,
  sequences: number,
  contextTokens: number,
): number {
  return stepMs(spec, sequences, contextTokens) * spec.stepsPerPass;
}
