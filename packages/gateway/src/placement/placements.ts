import type {ServiceSpec} from '../config/service_spec.js';
import {EnginePlacement} from './engine_placement.js';
import {LeastOutstandingPlacement} from './least_outstanding_placement.js';
import type {Placement} from './placement.js';
import {PlacementName} from './placement_name.js';
import {RoundRobinPlacement} from './round_robin_placement.js';

/** The placements of this host by sort of service. */
export class Placements {
  private readonly plain: Placement;
  private readonly engines: Placement;

  constructor(
    name: PlacementName,
    failureDomain: string,
    draw: () => number = Math.random,
  ) {
    const least = new LeastOutstandingPlacement(failureDomain, draw);
    this.plain =
      name === PlacementName.RoundRobin ? new RoundRobinPlacement() : least;
    this.engines =
      name === PlacementName.EngineTime
        ? new EnginePlacement(failureDomain, draw)
        : this.plain;
  }

  /** The placement for a service. */
  for(service: ServiceSpec): Placement {
    return service.engine ? this.engines : this.plain;
  }
}
