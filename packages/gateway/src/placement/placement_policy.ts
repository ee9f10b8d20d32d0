import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Policy that decides which backend servers process a request. */
export abstract class PlacementPolicy {
  /** Returns `undefined` when no candidate can ever accept the request. */
  abstract place(request: PlacementRequest): PlacementDecision | undefined;
}
