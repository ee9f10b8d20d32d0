import {
  Backend,
  PlacementPolicies,
  type PlacedWork,
  type PlacementPolicyName,
  type ServiceSpec,
} from '@vanillamux/gateway';
import {PresenceState} from '@vanillamux/protocol';

/** Options of a `VirtualHost`. */
export interface VirtualHostOptions {
  readonly failureDomain: string;
  readonly placement: PlacementPolicyName;
  readonly service: ServiceSpec;
  /** Failure domain of each engine, by its place. */
  readonly engineDomains: readonly string[];
  readonly draw: () => number;
}

/** An entry host of a virtual day, with its own view of each engine. */
export class VirtualHost {
  readonly failureDomain: string;
  readonly placements: PlacementPolicies;
  readonly backends: readonly Backend[];

  constructor(options: VirtualHostOptions) {
    const {failureDomain, placement, service, engineDomains, draw} = options;
    this.failureDomain = failureDomain;
    this.placements = new PlacementPolicies(placement, failureDomain, draw);
    this.backends = engineDomains.map(
      (domain, at) =>
        new Backend({
          id: String(at),
          incarnation: 1,
          sequence: 1,
          state: PresenceState.Ready,
          service: service.name,
          address: {host: 'engine', port: at + 1},
          failureDomain: domain,
          capacity: service.engine?.batchSize ?? 1,
        }),
    );
  }

  /** Another host tells what it has placed. */
  hearBegin(id: string, work: readonly PlacedWork[], nowMs: number): void {
    for (const {backend, item} of work) {
      this.viewOf(backend).work.addPeerWork(id, item, nowMs);
    }
  }

  /** Another host tells that its work has ended. */
  hearEnd(id: string, work: readonly PlacedWork[], nowMs: number): void {
    for (const {backend} of work) this.viewOf(backend).work.remove(id, nowMs);
  }

  /** How this host sees an engine that another host knows. */
  private viewOf({presence}: Backend): Backend {
    return this.backends[Number(presence.id)]!;
  }
}
