import type {Backend} from '../fleet/backend.js';
import type {PlacementDecision} from './placement_decision.js';

/** Creates a decision for one backend server without helpers. */
export function singleBackendDecision(backend: Backend): PlacementDecision {
  return {backend, helpers: [], memory: [], work: []};
}
