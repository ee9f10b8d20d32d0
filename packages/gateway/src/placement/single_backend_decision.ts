import type {Backend} from '../fleet/backend.js';
import type {PlacementDecision} from './placement_decision.js';

/** A decision for one backend server alone. */
export function singleBackendDecision(backend: Backend): PlacementDecision {
  return {backend, helpers: [], memory: [], work: []};
}
