import type {ConfigFault} from './config_fault.js';
import type {GatewayConfig} from './gateway_config.js';
import type {RouteSpec} from './route_spec.js';

/** Finds what makes a configuration contradictory or unusable. */
export function checkConfig(config: GatewayConfig): ConfigFault[] {
  return [
    ...checkServices(config),
    ...checkRoutes(config),
    ...checkKeys(config),
  ];
}

function checkServices({services}: GatewayConfig): ConfigFault[] {
  return findRepeated(services.map(({name}) => name)).map(index => ({
    field: `services.${index}.name`,
    reason: `another service is named ${services[index]!.name}`,
  }));
}

function checkRoutes({routes, services}: GatewayConfig): ConfigFault[] {
  const known = new Set(services.map(({name}) => name));
  const faults = routes.flatMap((route, index) =>
    checkRoute(route, `routes.${index}`, known),
  );
  const places = routes.map(({host, pathPrefix}) => `${host} ${pathPrefix}`);
  for (const index of findRepeated(places)) {
    const reason = `another route has the same host and prefix (${places[index]})`;
    faults.push({field: `routes.${index}.pathPrefix`, reason});
  }
  return faults;
}

function checkRoute(
  route: RouteSpec,
  field: string,
  services: ReadonlySet<string>,
): ConfigFault[] {
  const faults: ConfigFault[] = [];
  for (const {service} of route.targets) {
    if (services.has(service)) continue;
    const reason = `service ${service} is not declared`;
    faults.push({field: `${field}.targets`, reason});
  }
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  if (!(total > 0)) {
    const reason = 'the weights of the targets add up to 0';
    faults.push({field: `${field}.targets`, reason});
  }
  if (!(route.timeoutMs > 0)) {
    const reason = 'the timeout must be above 0 ms';
    faults.push({field: `${field}.timeoutMs`, reason});
  }
  return faults;
}

function checkKeys({workspaces}: GatewayConfig): ConfigFault[] {
  const owners = new Map<string, string>();
  const faults: ConfigFault[] = [];
  workspaces.forEach(({name, keys}, index) => {
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        const reason = `workspace ${owner} has one of the keys too`;
        faults.push({field: `workspaces.${index}.keys`, reason});
      }
      owners.set(key, name);
    }
  });
  return faults;
}

/** Indexes of the items that stand earlier in the list too. */
function findRepeated(items: readonly string[]): number[] {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    if (seen.has(item)) return [index];
    seen.add(item);
    return [];
  });
}
