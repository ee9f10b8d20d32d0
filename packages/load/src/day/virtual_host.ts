import {
  Backend,
  PlacementPolicies,
  type AdmissionPolicy,
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
  /** Failure domain of each engine, by index. */
  readonly engineDomains: readonly string[];
  readonly admission: AdmissionPolicy;
  readonly random: () => number;
}

/** An entry host of a simulated day, with its own view of each engine. */
export class VirtualHost {
  readonly failureDomain: string;
  readonly placements: PlacementPolicies;
  readonly admission: AdmissionPolicy;
  readonly backends: readonly Backend[];

  constructor(options: VirtualHostOptions) {
    const {failureDomain, placement, service, engineDomains, random} = options;
    this.failureDomain = failureDomain;
    this.admission = options.admission;
    this.placements = new PlacementPolicies(placement, failureDomain, random);
    this.backends = engineDomains.map(
      (domain, index) =>
        new Backend({
          id: String(index),
          incarnation: 1,
          sequence: 1,
          state: PresenceState.Ready,
          service: service.name,
          address: {host: 'engine', port: index + 1},
          failureDomain: domain,
          capacity: service.engine?.batchSize ?? 1,
        }),
    );
  }

  /** Handles the notice of a peer that it has placed work. */
  receiveWork(id: string, work: readonly PlacedWork[], nowMs: number): void {
    for (const {backend, item} of work) {
      this.localBackend(backend).work.addPeerWork(id, item, nowMs);
    }
  }

  /** Handles the notice of a peer that its work has ended. */
  receiveWorkEnd(id: string, work: readonly PlacedWork[], nowMs: number): void {
    for (const {backend} of work)
      this.localBackend(backend).work.remove(id, nowMs);
  }

  /** This host's own view of the engine behind a peer's backend server. */
  private localBackend({presence}: Backend): Backend {
    return this.backends[Number(presence.id)]!;
  }
}
