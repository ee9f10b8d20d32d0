import type {EvacuationVerdict} from './evacuation_verdict.js';

/** Answer to an evacuate command. */
export interface EvacuationAnswer {
  readonly verdict: EvacuationVerdict;
  /** Revision after the command. */
  readonly revision: number;
}
