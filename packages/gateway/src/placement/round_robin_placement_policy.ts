import {PlacementPolicy} from './placement_policy.js';
import {singleBackendDecision} from './single_backend_decision.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Takes the backend servers in turn; a baseline for measurements. */
export class RoundRobinPlacementPolicy extends PlacementPolicy {
  private nextIndex = 0;

  place({candidates}: PlacementRequest): PlacementDecision | undefined {
    const backend = candidates[this.nextIndex++ % candidates.length];
    return backend && singleBackendDecision(backend);
  }
}
