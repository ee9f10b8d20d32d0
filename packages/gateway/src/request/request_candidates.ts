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
}

/**
 * Backend servers that the next attempt of a request may use: those that no
 * attempt has used, as far as their request limits allow.
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

  /** Whether an attempt has used a backend server or entry host. */
  isExcluded(backend: Backend): boolean {
    return this.attempted.has(backend);
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
      ({failures, presence}) =>
        !failures.isEjected(nowMs) &&
        !reachability.isUnreachable(presence.failureDomain, nowMs),
    );
    return available.length > 0 ? available : permitted;
  }

  /**
   * Time until one of the backend servers that are left may have a permit, in
   * milliseconds; `undefined` unless request limits alone exclude all of them.
   */
  limitWaitMs(nowMs: number): number | undefined {
    const left = this.unattempted();
    const areHeldByLimits =
      left.length > 0 &&
      !left.some(backend => this.mayBePermitted(backend, nowMs));
    if (!areHeldByLimits) return undefined;
    const {requestLimits} = this.options.components;
    return Math.min(
      ...left.map(backend => requestLimits.waitMs(backend, nowMs)),
    );
  }

  /**
   * Returns the engines of a decision that require a permit: the responding
   * one, helpers, and those that reserve memory.
   */
  limitedEngines({backend, helpers, memory}: PlacementDecision): Backend[] {
    const engines = new Set([
      backend,
      ...helpers,
      ...memory.map(share => share.backend),
    ]);
    const {requestLimits} = this.options.components;
    return [...engines].filter(engine => requestLimits.isLimited(engine));
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

  private unattempted(): Backend[] {
    const {components, service} = this.options;
    return components.backends
      .candidates(service)
      .filter(backend => !this.attempted.has(backend));
  }

  /** Whether the backend server has no request limit, or may have a permit. */
  private mayBePermitted(backend: Backend, nowMs: number): boolean {
    const {requestLimits} = this.options.components;
    return this.deniedPermits < MAX_DENIED_PERMITS
      ? requestLimits.waitMs(backend, nowMs) === 0
      : !requestLimits.isLimited(backend);
  }
}
