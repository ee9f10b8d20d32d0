import type {ConfigIssue} from './config_issue.js';
import type {GatewayConfig} from './gateway_config.js';
import type {RouteSpec} from './route_spec.js';

/** Returns every issue for which a configuration has to be refused. */
export function checkConfig(config: GatewayConfig): ConfigIssue[] {
  return [
    ...checkServices(config),
    ...checkRoutes(config),
    ...checkKeys(config),
  ];
}

function checkServices({services}: GatewayConfig): ConfigIssue[] {
  return findDuplicates(services.map(({name}) => name)).map(index => ({
    field: `services.${index}.name`,
    reason: `another service is named ${services[index]!.name}`,
  }));
}

function checkRoutes({routes, services}: GatewayConfig): ConfigIssue[] {
  const serviceNames = new Set(services.map(({name}) => name));
  const issues = routes.flatMap((route, index) =>
    checkRoute(route, `routes.${index}`, serviceNames),
  );
  const hostsAndPrefixes = routes.map(
    ({host, pathPrefix}) => `${host} ${pathPrefix}`,
  );
  for (const index of findDuplicates(hostsAndPrefixes)) {
    const reason = `another route has the same host and prefix (${hostsAndPrefixes[index]})`;
    issues.push({field: `routes.${index}.pathPrefix`, reason});
  }
  return issues;
}

function checkRoute(
  route: RouteSpec,
  field: string,
  serviceNames: ReadonlySet<string>,
): ConfigIssue[] {
  const issues: ConfigIssue[] = [];
  for (const {service} of route.targets) {
    if (serviceNames.has(service)) continue;
    const reason = `service ${service} is not declared`;
    issues.push({field: `${field}.targets`, reason});
  }
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  if (!(total > 0)) {
    const reason = 'the weights of the targets add up to 0';
    issues.push({field: `${field}.targets`, reason});
  }
  if (!(route.timeoutMs > 0)) {
    const reason = 'the timeout must be above 0 ms';
    issues.push({field: `${field}.timeoutMs`, reason});
  }
  return issues;
}

function checkKeys({workspaces = []}: GatewayConfig): ConfigIssue[] {
  const owners = new Map<string, string>();
  const issues: ConfigIssue[] = [];
  workspaces.forEach(({name, keys}, index) => {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        const reason = `workspace ${owner} has one of the keys too`;
        issues.push({field: `workspaces.${index}.keys`, reason});
      }
      owners.set(key, name);
    }
  });
  return issues;
}

/** Returns the indexes of items that equal an earlier item. */
function findDuplicates(items: readonly string[]): number[] {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    if (seen.has(item)) return [index];
    seen.add(item);
    return [];
  });
}
