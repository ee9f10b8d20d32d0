import {FailingPhase} from '../failing_backends/failing_phase.js';
import type {Backend} from '../fleet/backend.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import type {GatewayComponents} from './gateway_components.js';

/** Denied permits after which backend servers with a limit are left out. */
const MAX_DENIED_PERMITS = 3;

/** Options of `RequestCandidates`. */
export interface RequestCandidatesOptions {
  readonly components: Pick<GatewayComponents, 'backends' | 'requestLimits'>;
  readonly service: string;
  readonly requestId: string;
  /** Whether the request may be sent to a failure domain. */
  readonly mayUse: (failureDomain: string) => boolean;
  /** Whether another attempt may follow one that has run. */
  readonly isRepeatable?: boolean;
}

/**
 * Backend servers that the next attempt of a request may use: those at its homes
 * that no attempt has used, as far as their request limits and pauses allow.
 */
export class RequestCandidates {
  private readonly attempted = new Set<Backend>();
  /** Placements that were given up for want of a permit. */
  private deniedPermits = 0;

  constructor(private readonly options: RequestCandidatesOptions) {}

  /** Whether an attempt has used, and thus excluded, a backend server. */
  get hasAttempted(): boolean {
    return this.attempted.size > 0;
  }

  /**
   * Whether an attempt has used a backend server or entry host, or it is at no
   * home of the request.
   */
  isExcluded(backend: Backend): boolean {
    return this.attempted.has(backend) || !this.isHome(backend);
  }

  /** Excludes a backend server from further attempts. */
  exclude(backend: Backend): void {
    this.attempted.add(backend);
  }

  /** Lets further attempts use a backend server again. */
  include(backend: Backend): void {
    this.attempted.delete(backend);
  }

  /** Returns the candidates; reachable ones alone if there are any. */
  list(nowMs: number): Backend[] {
    const permitted = this.unattempted().filter(backend =>
      this.mayBePermitted(backend, nowMs),
    );
    const {reachability} = this.options.components.backends;
    const available = permitted.filter(
      ({failures, evidence, presence}) =>
        !failures.isEjected(nowMs) &&
        this.mayTry(evidence.phase(nowMs)) &&
        !reachability.isUnreachable(presence.failureDomain, nowMs),
    );
    return available.length > 0 ? available : permitted;
  }

  /**
   * Whether request limits and pauses alone exclude all of the backend servers
   * that are left.
   */
  areAllHeld(nowMs: number): boolean {
    const left = this.unattempted();
    return (
      left.length > 0 &&
      !left.some(backend => this.mayBePermitted(backend, nowMs))
    );
  }

  /**
   * Time until a backend server of the service, attempted or not, may take a
   * request, in milliseconds; 0 if one may now, or none is known.
   */
  availableInMs(nowMs: number): number {
    const waitsMs = this.atHome().map(backend => this.waitMs(backend, nowMs));
    return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
  }

  /**
   * Whether engines of a decision have said since it was made that they leave
   * or want a pause, or an operator has emptied their failure domain.
   */
  isOutdated(decision: PlacementDecision, nowMs: number): boolean {
    const {departures, emptied} = this.options.components.backends;
    return listEngines(decision).some(
      ({pause, presence}) =>
        pause.remainingMs(nowMs) > 0 ||
        departures.has(presence) ||
        // An entry host relays wherever it is itself.
        (!decision.isRelay && emptied.has(presence)),
    );
  }

  /** Whether the service has backend servers in emptied domains alone. */
  get isServiceEmptied(): boolean {
    const {components, service} = this.options;
    return components.backends.isEmptied(service);
  }

  /**
   * Returns the engines of a decision that require a permit. A cold one that
   * reserves memory requires two, as the order to do so counts as well.
   */
  limitedEngines(decision: PlacementDecision): Backend[] {
    const {requestLimits} = this.options.components;
    const reserving = decision.memory
      .map(({backend}) => backend)
      .filter(backend => !requestLimits.isLimited(backend));
    return [...listEngines(decision), ...reserving].filter(backend =>
      requestLimits.requiresPermit(backend),
    );
  }

  /** Returns those of the backend servers that have a request limit. */
  limitedOf(backends: readonly Backend[]): ReadonlySet<Backend> {
    const {requestLimits} = this.options.components;
    return new Set(
      backends.filter(backend => requestLimits.isLimited(backend)),
    );
  }

  /** Acquires a permit for each of the engines. Returns whether it has all. */
  async acquirePermits(engines: readonly Backend[]): Promise<boolean> {
    const {components, requestId} = this.options;
    const isGranted = await components.requestLimits.acquire(
      requestId,
      engines,
    );
    if (!isGranted) this.deniedPermits++;
    return isGranted;
  }

  /** Whether a backend server may be tried that may fail the request. */
  private mayTry(phase: FailingPhase): boolean {
    if (phase === FailingPhase.Sound) return true;
    const {isRepeatable = false} = this.options;
    return phase === FailingPhase.Trial && isRepeatable && !this.hasAttempted;
  }

  private unattempted(): Backend[] {
    return this.atHome().filter(backend => !this.attempted.has(backend));
  }

  private atHome(): Backend[] {
    const {components, service, mayUse} = this.options;
    const isHome = new Map<string, boolean>();
    return components.backends.candidates(service).filter(({presence}) => {
      const {failureDomain} = presence;
      const known = isHome.get(failureDomain) ?? mayUse(failureDomain);
      isHome.set(failureDomain, known);
      return known;
    });
  }

  private isHome({presence}: Backend): boolean {
    return this.options.mayUse(presence.failureDomain);
  }

  /** Whether this host may send to the backend server, or ask for a permit. */
  private mayBePermitted(backend: Backend, nowMs: number): boolean {
    if (this.waitMs(backend, nowMs) > 0) return false;
    const {requestLimits} = this.options.components;
    return (
      this.deniedPermits < MAX_DENIED_PERMITS ||
      !requestLimits.requiresPermit(backend)
    );
  }

  /** Time until this host may send to the backend server, in milliseconds. */
  private waitMs(backend: Backend, nowMs: number): number {
    const {requestLimits} = this.options.components;
    return Math.max(
      backend.pause.remainingMs(nowMs),
      requestLimits.waitMs(backend, nowMs),
    );
  }
}

/** Lists the engines of a decision: responding, helping, reserving memory. */
function listEngines({backend, helpers, memory}: PlacementDecision): Backend[] {
  return [
    ...new Set([backend, ...helpers, ...memory.map(share => share.backend)]),
  ];
}
