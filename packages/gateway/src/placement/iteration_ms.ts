import type {EngineSpec} from '../config/engine_spec.js';
import {stepMs} from './step_ms.js';

/** Duration of a scheduling iteration that decodes without prefill. */
export function iterationMs(
  spec: EngineSpec,
  sequences: number,
  contextTokens: number,
): number {
  return stepMs(spec, sequences, contextTokens) * spec.stepsPerPass;
}
