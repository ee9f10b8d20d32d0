export {type BackendView} from './backend_view.js';
export {type CandidatePool} from './candidate_pool.js';
export {chooseOwner} from './choose_owner.js';
export {createPolicy} from './create_policy.js';
export {estimateFirstTokenMs} from './estimate_first_token_ms.js';
export {
  EstimatedFirstTokenPolicy,
  type EstimatedFirstTokenOptions,
} from './estimated_first_token_policy.js';
export {
  InFlightTracker,
  type InFlightReport,
  type InFlightRequest,
} from './in_flight_tracker.js';
export {LeastOutstandingPolicy} from './least_outstanding_policy.js';
export {planGang, type PrefillShare} from './plan_gang.js';
export {PolicyName} from './policy_name.js';
export {PrefixIndex} from './prefix_index.js';
export {
  KvReservationManager,
  type KvCapacityReader,
  type KvReservationRequest,
} from './kv_reservation_manager.js';
export {RoundRobinPolicy} from './round_robin_policy.js';
export {type RoutingDecision} from './routing_decision.js';
export {RoutingPolicy} from './routing_policy.js';
export {type RoutingRequest} from './routing_request.js';
