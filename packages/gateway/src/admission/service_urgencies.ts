import type {GatewayConfig} from '../config/gateway_config.js';
import type {RouteSpec} from '../config/route_spec.js';
import type {Urgency} from './urgency.js';

const EQUAL: Urgency = {levelsBelow: 0, levelsAbove: 0};

interface Level {
  readonly priority: number;
  readonly routePriority: number;
  readonly goalMs: number;
}

/**
 * Urgencies of the requests for each service of a configuration. The priority of
 * a workspace counts first, that of the route decides among equal ones.
 */
export class ServiceUrgencies {
  private readonly levelsByService = new Map<string, Level[]>();

  constructor({
    routes,
    workspaces,
  }: Pick<GatewayConfig, 'routes' | 'workspaces'>) {
    const priorities = new Set(workspaces?.map(({priority}) => priority));
    for (const route of routes) {
      const requests =
        route.isAnonymous || !workspaces ? [route.priority] : [...priorities];
      for (const {service} of route.targets)
        for (const priority of requests) this.add(service, route, priority);
    }
    for (const levels of this.levelsByService.values()) levels.sort(compare);
  }

  /** Whether routes with different priorities lead to the service. */
  areRoutesRanked(service: string): boolean {
    const levels = this.levelsByService.get(service) ?? [];
    return new Set(levels.map(level => level.routePriority)).size > 1;
  }

  /** Returns the urgency of a request. */
  of(service: string, priority: number, routePriority: number): Urgency {
    const levels = this.levelsByService.get(service) ?? [];
    const at = levels.findIndex(
      level =>
        level.priority === priority && level.routePriority === routePriority,
    );
    if (at < 0) return EQUAL;
    const goals = levels.slice(0, at).map(({goalMs}) => goalMs);
    return {
      levelsBelow: levels.length - 1 - at,
      levelsAbove: at,
      urgentGoalMs: goals.length > 0 ? Math.min(...goals) : undefined,
    };
  }

  private add(service: string, route: RouteSpec, priority: number): void {
    const levels = this.levelsByService.get(service) ?? [];
    this.levelsByService.set(service, levels);
    const routePriority = route.priority;
    const goalMs = route.latencyGoalMs;
    const level = {priority, routePriority, goalMs};
    const known = levels.findIndex(other => compare(other, level) === 0);
    if (known < 0) levels.push(level);
    else if (goalMs < levels[known]!.goalMs) levels[known] = level;
  }
}

function compare(a: Level, b: Level): number {
  return a.priority - b.priority || a.routePriority - b.routePriority;
}
