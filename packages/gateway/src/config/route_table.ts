import type {GatewayConfig} from './gateway_config.js';
import type {RouteSpec} from './route_spec.js';
import type {ServiceSpec} from './service_spec.js';
import type {WorkspaceSpec} from './workspace_spec.js';

/** A configuration indexed for the lookups of a request. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, RouteSpec>>();
  private readonly servicesByName: ReadonlyMap<string, ServiceSpec>;
  private readonly workspaceByKey = new Map<string, WorkspaceSpec>();

  constructor(readonly config: GatewayConfig) {
    for (const route of config.routes) {
      const routesByPrefix = this.routesByHost.get(route.host) ?? new Map();
      routesByPrefix.set(route.pathPrefix, route);
      this.routesByHost.set(route.host, routesByPrefix);
    }
    this.servicesByName = new Map(
      config.services.map(spec => [spec.name, spec]),
    );
    for (const workspace of config.workspaces) {
      for (const key of workspace.keys) this.workspaceByKey.set(key, workspace);
    }
  }

  /** The route with the longest prefix of the path, a query included in it. */
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

  /** The declared service of a name. */
  findService(name: string): ServiceSpec | undefined {
    return this.servicesByName.get(name);
  }

  /** The workspace that holds a key. */
  findWorkspace(key: string): WorkspaceSpec | undefined {
    return this.workspaceByKey.get(key);
  }

  /** Whether requests need a key at all. */
  get hasWorkspaces(): boolean {
    return this.config.workspaces.length > 0;
  }
}

function normalizeHost(header: string): string {
  const port = header.lastIndexOf(':');
  const host = port > header.lastIndexOf(']') ? header.slice(0, port) : header;
  return host.toLowerCase();
}

/** Index of the last character of the path, without its query. */
function lastPathIndex(path: string): number {
  const query = path.indexOf('?');
  return (query < 0 ? path.length : query) - 1;
}
