import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Decides which backend servers work on a request. */
export abstract class PlacementPolicy {
  /** Returns `undefined` when no candidate can ever take the request. */
  abstract place(request: PlacementRequest): PlacementDecision | undefined;
}
