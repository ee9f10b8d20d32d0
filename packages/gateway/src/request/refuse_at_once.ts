import {monotonicMs} from '@vanillamux/shared';
import type {AdmissionRefusal} from '../admission/admission_refusal.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import type {ClientRequest} from './client_request.js';
import type {GatewayComponents} from './gateway_components.js';

/**
 * Asks the admission policy of the service whether to refuse a request, for the
 * first time or again.
 */
export function refuseAtOnce(
  components: Pick<GatewayComponents, 'admission' | 'backends' | 'configStore'>,
  request: ClientRequest,
  {prediction}: PlacementDecision,
  isRepeated: boolean,
): AdmissionRefusal | undefined {
  const {service, route, metadata, priority, workspace} = request;
  const config = components.configStore.current?.config;
  if (!config) return undefined;
  const {admission} = components;
  return admission.for(service.name, config).refuse({
    service,
    metadata,
    route: route.name,
    urgency: admission
      .urgencies(config)
      .of(service.name, priority, route.priority),
    workspace,
    latencyGoalMs: route.latencyGoalMs,
    prediction,
    isRepeated,
    // Not every policy asks for them.
    get backends() {
      return components.backends.candidates(service.name);
    },
    nowMs: monotonicMs(),
  });
}
