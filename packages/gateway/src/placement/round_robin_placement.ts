import {Placement} from './placement.js';
import {placeAlone} from './place_alone.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Takes the backend servers in turn; a baseline for measurements. */
export class RoundRobinPlacement extends Placement {
  private turn = 0;

  place({candidates}: PlacementRequest): PlacementDecision | undefined {
    const backend = candidates[this.turn++ % candidates.length];
    return backend && placeAlone(backend);
  }
}
