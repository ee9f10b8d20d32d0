import type {ServiceSpec} from '../config/service_spec.js';
import {EnginePlacementPolicy} from './engine_placement_policy.js';
import {LeastOutstandingPlacementPolicy} from './least_outstanding_placement_policy.js';
import type {PlacementPolicy} from './placement_policy.js';
import {PlacementPolicyName} from './placement_policy_name.js';
import {RoundRobinPlacementPolicy} from './round_robin_placement_policy.js';

/** The placements of this host by sort of service. */
export class PlacementPolicies {
  private readonly serverPolicy: PlacementPolicy;
  private readonly enginePolicy: PlacementPolicy;

  constructor(
    name: PlacementPolicyName,
    failureDomain: string,
    random: () => number = Math.random,
  ) {
    const leastOutstanding = new LeastOutstandingPlacementPolicy(
      failureDomain,
      random,
    );
    this.serverPolicy =
      name === PlacementPolicyName.RoundRobin
        ? new RoundRobinPlacementPolicy()
        : leastOutstanding;
    this.enginePolicy =
      name === PlacementPolicyName.EngineTime
        ? new EnginePlacementPolicy(failureDomain, random)
        : this.serverPolicy;
  }

  /** The placement for a service. */
  for(service: ServiceSpec): PlacementPolicy {
    return service.engine ? this.enginePolicy : this.serverPolicy;
  }
}
