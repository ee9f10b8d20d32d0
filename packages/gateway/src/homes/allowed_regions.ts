import type {RouteSpec} from '../config/route_spec.js';
import type {WorkspaceSpec} from '../config/workspace_spec.js';

/**
 * Returns the regions that requests of a route and a workspace may be served
 * in; both bind where both name some. `undefined` allows every region.
 */
export function allowedRegions(
  route: Pick<RouteSpec, 'regions'>,
  workspace?: Pick<WorkspaceSpec, 'regions'>,
): readonly string[] | undefined {
  const ofWorkspace = workspace?.regions;
  if (!route.regions || !ofWorkspace) return route.regions ?? ofWorkspace;
  return route.regions.filter(region => ofWorkspace.includes(region));
}
