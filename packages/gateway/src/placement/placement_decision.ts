import type {Backend} from '../fleet/backend.js';
import type {WorkItem} from '../fleet/work_item.js';

/** Work that a placement gives to one engine. */
export interface PlacedWork {
  readonly backend: Backend;
  readonly item: WorkItem;
}

/** Memory of one engine that a request needs to itself. */
export interface MemoryShare {
  readonly backend: Backend;
  readonly tokens: number;
}

/** What an engine placement expected, for those who ask why. */
export interface PlacementFigures {
  /** Prompt processing on each engine. */
  readonly partMs: number;
  readonly firstEventMs: number;
  /** Credit that all requests together were expected to lose. */
  readonly loss: number;
}

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
  readonly figures?: PlacementFigures;
}
