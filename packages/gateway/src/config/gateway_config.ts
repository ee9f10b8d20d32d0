import type {ClientLimits} from './client_limits.js';
import type {RouteSpec} from './route_spec.js';
import type {ServiceSpec} from './service_spec.js';
import type {WorkspaceSpec} from './workspace_spec.js';

/** The configuration that an operator publishes for HTTP routing. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly RouteSpec[];
  readonly services: readonly ServiceSpec[];
  /**
   * Workspaces whose keys are accepted: none if the list is empty. If there is
   * no list, no key is required.
   */
  readonly workspaces?: readonly WorkspaceSpec[];
  readonly limits: ClientLimits;
}
