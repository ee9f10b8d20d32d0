import type {BackendCounts, Census} from '@vanillamux/control';
import {Deferred, getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import type {BackendPool} from '../fleet/backend_pool.js';

/** Share of the backend servers before the restart that is enough. */
const ENOUGH_SHARE = 0.75;
/** Longest wait of a request; a little above an interval of heartbeats. */
const MAX_WAIT_MS = 1_500;

const log = getLogger('backends');

/** Options of `KnownBackends`. */
export interface KnownBackendsOptions {
  /** Whether the settings of the deployment ask for it; requests wait only then. */
  readonly isEnabled: boolean;
  readonly backends: Pick<BackendPool, 'candidates' | 'services'>;
  readonly now?: () => number;
}

/**
 * Decides whether enough backend servers of a service are known to send requests
 * there. When every control host has restarted, the few that have reported first
 * would get the requests of all hosts, and hold them for seconds.
 */
export class KnownBackends {
  private readonly now: () => number;
  /** Highest numbers that control hosts remember. */
  private readonly expected = new Map<string, number>();
  /** When backend servers that have not reported by then are not waited for. */
  private closesMs = -Infinity;
  /** Whether a control host has answered that has not just started. */
  private isSettled = false;
  private changed = new Deferred<void>();
  private readonly waitingServices = new Set<string>();

  constructor(private readonly options: KnownBackendsOptions) {
    this.now = options.now ?? monotonicMs;
  }

  /**
   * Backend servers of each service that this host may send requests to, for the
   * control hosts; `undefined` where nobody waits for them.
   */
  get counts(): BackendCounts | undefined {
    const {isEnabled, backends} = this.options;
    if (!isEnabled) return undefined;
    return Object.fromEntries(
      backends
        .services()
        .map(service => [service, backends.candidates(service).length]),
    );
  }

  /**
   * Handles the answer of a control host, after its reports; without a census,
   * the control host has not just started, or is of an earlier build.
   */
  update(census: Census | undefined): void {
    if (this.isSettled) return;
    if (!census) this.isSettled = true;
    else this.learn(census);
    const {changed} = this;
    this.changed = new Deferred<void>();
    changed.resolve();
  }

  /** Waits until enough backend servers are known, at most `timeoutMs`. */
  async wait(
    service: string,
    {timeoutMs, signal}: {timeoutMs: number; signal: AbortSignal},
  ): Promise<void> {
    if (this.areEnough(service)) return;
    const startedMs = this.now();
    const endMs = startedMs + Math.min(MAX_WAIT_MS, timeoutMs);
    const isFirst = !this.waitingServices.has(service);
    this.waitingServices.add(service);
    while (!this.areEnough(service) && this.now() < endMs && !signal.aborted) {
      const timer = new AbortController();
      await Promise.race([
        this.changed.promise,
        sleep(
          Math.min(endMs, this.closesMs) - this.now(),
          AbortSignal.any([signal, timer.signal]),
        ),
      ]);
      timer.abort();
    }
    if (!isFirst) return;
    log.info('Waited for the backend servers of a service after a restart.', {
      service,
      known: this.options.backends.candidates(service).length,
      expected: this.expected.get(service),
      waitedMs: Math.round(this.now() - startedMs),
    });
  }

  private learn({expected, openForMs}: Census): void {
    for (const [service, count] of Object.entries(expected))
      this.expected.set(
        service,
        Math.max(count, this.expected.get(service) ?? 0),
      );
    const closesMs = this.now() + openForMs;
    // The control host that started first has heard for longest.
    this.closesMs =
      this.closesMs === -Infinity
        ? closesMs
        : Math.min(this.closesMs, closesMs);
  }

  private areEnough(service: string): boolean {
    if (!this.options.isEnabled) return true;
    if (this.isSettled || this.now() >= this.closesMs) return true;
    const expected = this.expected.get(service) ?? 0;
    const known = this.options.backends.candidates(service).length;
    return known >= Math.floor(ENOUGH_SHARE * expected);
  }
}
