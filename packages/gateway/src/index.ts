export {AdmissionPolicy} from './admission/admission_policy.js';
export {AdmissionPolicyName} from './admission/admission_policy_name.js';
export {createAdmissionPolicy} from './admission/create_admission_policy.js';
export {checkConfig} from './config/check_config.js';
export {type ClientLimits} from './config/client_limits.js';
export {type ConfigIssue} from './config/config_issue.js';
export {type EngineSpec} from './config/engine_spec.js';
export {type GatewayConfig} from './config/gateway_config.js';
export {RetryPolicy} from './config/retry_policy.js';
export {type RouteSpec} from './config/route_spec.js';
export {type RouteTarget} from './config/route_target.js';
export {type ServiceSpec} from './config/service_spec.js';
export {type WorkspaceSpec} from './config/workspace_spec.js';
export {type ResponseMetadata} from './dialect/response_metadata.js';
export {ResponseVerdict} from './dialect/response_verdict.js';
export {type AttemptMetadata} from './dialect/attempt_metadata.js';
export {Dialect} from './dialect/dialect.js';
export {readRetryAfterMs} from './dialect/read_retry_after_ms.js';
export {type PrefillHelper} from './dialect/prefill_helper.js';
export {type LoadReport} from './dialect/load_report.js';
export {type RelayMetadata} from './dialect/relay_metadata.js';
export {type ReservationCommand} from './dialect/reservation_command.js';
export {type ReservationMessage} from './dialect/reservation_message.js';
export {type RequestMetadata} from './dialect/request_metadata.js';
export {Backend} from './fleet/backend.js';
export {type PlacementDecision} from './placement/placement_decision.js';
export {PlacementPolicyName} from './placement/placement_policy_name.js';
export {observePace} from './placement/observe_pace.js';
export {prefillMs} from './placement/prefill_ms.js';
export {stepMs} from './placement/step_ms.js';
export {PlacementPolicies} from './placement/placement_policies.js';
export {
  PlacementClaim,
  type PlacementClaimOptions,
} from './request/placement_claim.js';
export {type PlacedWork} from './placement/placed_work.js';
export {Gateway, type GatewayOptions} from './server/gateway.js';
export {type GatewaySettings} from './server/gateway_settings.js';
export {gatewaySettingsSchema} from './server/gateway_settings_schema.js';
