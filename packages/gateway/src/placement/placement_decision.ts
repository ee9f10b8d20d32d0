import type {Backend} from '../fleet/backend.js';
import type {MemoryShare} from './memory_share.js';
import type {PlacedWork} from './placed_work.js';
import type {PlacementPrediction} from './placement_prediction.js';

/** Where a request goes. */
export interface PlacementDecision {
  /** The backend server that answers. */
  readonly backend: Backend;
  /** Engines that process a part of the prompt each. */
  readonly helpers: readonly Backend[];
  /**
   * Engines whose memory has to be reserved before the request is sent; empty
   * when the answering engine's own memory is enough.
   */
  readonly memory: readonly MemoryShare[];
  readonly work: readonly PlacedWork[];
  readonly prediction?: PlacementPrediction;
}
