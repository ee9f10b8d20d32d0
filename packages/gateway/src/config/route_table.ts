import type {GatewayConfig} from './gateway_config.js';
import type {RouteSpec} from './route_spec.js';
import type {ServiceSpec} from './service_spec.js';
import type {WorkspaceSpec} from './workspace_spec.js';

/** Indexes a configuration by host name, path prefix, service and key. */
export class RouteTable {
  /** Whether a route or a workspace names regions. */
  readonly hasHomes: boolean;
  private readonly routesByHost = new Map<string, Map<string, RouteSpec>>();
  private readonly servicesByName: ReadonlyMap<string, ServiceSpec>;
  private readonly workspaceByKey = new Map<string, WorkspaceSpec>();

  constructor(readonly config: GatewayConfig) {
    const {routes, workspaces = []} = config;
    this.hasHomes = [...routes, ...workspaces].some(
      ({regions}) => regions !== undefined,
    );
    for (const route of routes) {
      const routesByPrefix = this.routesByHost.get(route.host) ?? new Map();
      routesByPrefix.set(route.pathPrefix, route);
      this.routesByHost.set(route.host, routesByPrefix);
    }
    this.servicesByName = new Map(
      config.services.map(spec => [spec.name, spec]),
    );
    for (const workspace of workspaces) {
      for (const key of workspace.keys) this.workspaceByKey.set(key, workspace);
    }
  }

  /** Returns the route with the longest prefix of `path`, without its query. */
  match(hostHeader: string, path: string): RouteSpec | undefined {
    const routesByPrefix = this.routesByHost.get(normalizeHost(hostHeader));
    if (!routesByPrefix) return undefined;
    let end = lastPathIndex(path);
    while ((end = path.lastIndexOf('/', end)) >= 0) {
      const route = routesByPrefix.get(path.slice(0, end + 1));
      if (route) return route;
      end--;
      if (end < 0) return undefined;
    }
    return undefined;
  }

  findService(name: string): ServiceSpec | undefined {
    return this.servicesByName.get(name);
  }

  /** Returns the workspace to which an API key belongs; none without a key. */
  findWorkspace(key: string | undefined): WorkspaceSpec | undefined {
    return key === undefined ? undefined : this.workspaceByKey.get(key);
  }

  /** Whether routes that are not anonymous require a key of a workspace. */
  get requiresKeys(): boolean {
    return this.config.workspaces !== undefined;
  }
}

function normalizeHost(header: string): string {
  const port = header.lastIndexOf(':');
  const host = port > header.lastIndexOf(']') ? header.slice(0, port) : header;
  return host.toLowerCase();
}

/** Returns the index of the last character before the query. */
function lastPathIndex(path: string): number {
  const query = path.indexOf('?');
  return (query < 0 ? path.length : query) - 1;
}
