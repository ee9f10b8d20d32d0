import type {Backend} from '../fleet/backend.js';
import type {MemoryShare} from './memory_share.js';
import type {PlacedWork} from './placed_work.js';
import type {PlacementPrediction} from './placement_prediction.js';

/** Backend servers and KV memory that a policy chose for a request. */
export interface PlacementDecision {
  /** Backend server that sends the response. */
  readonly backend: Backend;
  /** Engines that each process a prefill share. */
  readonly helpers: readonly Backend[];
  /**
   * KV memory to reserve before the request is sent; empty when the memory of
   * the responding engine alone is enough.
   */
  readonly memory: readonly MemoryShare[];
  readonly work: readonly PlacedWork[];
  readonly prediction?: PlacementPrediction;
  /** Whether `backend` is an entry host that relays the request. */
  readonly isRelay?: boolean;
}
