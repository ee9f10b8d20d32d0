import type {EngineSpec} from '../config/engine_spec.js';
import type {RequestMetadata} from '../dialect/request_metadata.js';
import {lossIfLate} from '../placement/loss_if_late.js';
import {prefillMs} from '../placement/prefill_ms.js';
import {stepMs} from '../placement/step_ms.js';

/** What a request asks of the engines, and what its refusal costs its caller. */
export interface AdmissionCost {
  /** Loss of the caller, in credit. */
  readonly refusalCost: number;
  /** Time of one whole engine that the request takes. */
  readonly engineMs: number;
}

/**
 * Returns the cost of a refusal and the engine time that it frees. Decoding takes
 * a slot of the batch or a part of the KV memory, whichever is the larger share.
 */
export function admissionCost(
  spec: EngineSpec,
  metadata: RequestMetadata,
): AdmissionCost {
  const {promptTokens, expectedOutputTokens} = metadata;
  const decodeMs =
    expectedOutputTokens * stepMs(spec, spec.batchSize, promptTokens);
  const share = Math.max(
    1 / spec.batchSize,
    (promptTokens + expectedOutputTokens) / spec.memoryTokens,
  );
  return {
    refusalCost: lossIfLate(metadata),
    engineMs: prefillMs(spec, promptTokens) + decodeMs * share,
  };
}
