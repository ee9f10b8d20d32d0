import type {RouteSpec} from './route_spec.js';

/** Draws a service by the weights of a route; `draw` is at least 0, below 1. */
export function chooseTarget(route: RouteSpec, random: number): string {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random * total;
  for (const {service, weight} of route.targets) {
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return route.targets.at(-1)!.service;
}
