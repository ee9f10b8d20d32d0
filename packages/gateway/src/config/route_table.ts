import type {GatewayConfig} from './gateway_config.js';
import type {RouteSpec} from './route_spec.js';
import type {ServiceSpec} from './service_spec.js';
import type {WorkspaceSpec} from './workspace_spec.js';

/** A configuration indexed for the lookups of a request. */
export class RouteTable {
  private readonly routes = new Map<string, Map<string, RouteSpec>>();
  private readonly services: ReadonlyMap<string, ServiceSpec>;
  private readonly workspaceByKey = new Map<string, WorkspaceSpec>();

  constructor(readonly config: GatewayConfig) {
    for (const route of config.routes) {
      const prefixes = this.routes.get(route.host) ?? new Map();
      prefixes.set(route.pathPrefix, route);
      this.routes.set(route.host, prefixes);
    }
    this.services = new Map(
      config.services.map(service => [service.name, service]),
    );
    for (const workspace of config.workspaces) {
      for (const key of workspace.keys) this.workspaceByKey.set(key, workspace);
    }
  }

  /** The route with the longest prefix of the path, a query included in it. */
  match(hostHeader: string, path: string): RouteSpec | undefined {
    const prefixes = this.routes.get(normalizeHost(hostHeader));
    if (!prefixes) return undefined;
    let end = pathEnd(path);
    while ((end = path.lastIndexOf('/', end)) >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
      end--;
      if (end < 0) return undefined;
    }
    return undefined;
  }

  /** The declared service of a name. */
  service(name: string): ServiceSpec | undefined {
    return this.services.get(name);
  }

  /** The workspace that holds a key. */
  workspaceOf(key: string): WorkspaceSpec | undefined {
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
function pathEnd(path: string): number {
  const query = path.indexOf('?');
  return (query < 0 ? path.length : query) - 1;
}
