import type {Backend} from '../fleet/backend.js';
import type {WorkItem} from '../fleet/work_ledger.js';

/** Work that a placement gives to one engine. */
export interface PlacedWork {
  readonly backend: Backend;
  readonly item: WorkItem;
}

/** Where a request goes. */
export interface PlacementDecision {
  /** The backend server that answers. */
  readonly backend: Backend;
  /** Engines that process a part of the prompt each. */
  readonly helpers: readonly Backend[];
  readonly work: readonly PlacedWork[];
}
