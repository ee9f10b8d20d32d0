import {getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {ReachProber} from './reach_prober.js';
import type {ServiceReach} from './service_reach.js';

/** Longest random delay of a probe, so that hosts that start do not probe at once. */
const MAX_DELAY_MS = 200;

const log = getLogger('reach');

interface Check {
  /** Aborted to begin without the rest of the delay. */
  readonly delay: AbortController;
  readonly done: Promise<void>;
}

/** Options of `FirstContact`. */
export interface FirstContactOptions {
  readonly reach: Pick<ServiceReach, 'hasHadContact'>;
  readonly backends: Pick<BackendPool, 'discovered'>;
  readonly prober: Pick<ReachProber, 'reachesOne' | 'verify'>;
}

/**
 * Finds out whether a host that has started reaches each service. Otherwise it
 * would learn that it is cut off from its first requests, and those that may run
 * once would be lost to it.
 */
export class FirstContact {
  private readonly checks = new Map<string, Check>();

  constructor(private readonly options: FirstContactOptions) {
    void options.backends
      .discovered()
      .observe(service => this.startCheck(service));
  }

  /**
   * Waits until probes have shown whether the service is reached: as a rule for
   * the time that one is held, at most for two probes one after the other.
   * Returns at once from then on, and after a response of a backend server.
   */
  async wait(service: string): Promise<void> {
    const check = this.checks.get(service);
    if (!check || this.options.reach.hasHadContact(service)) return;
    check.delay.abort();
    await check.done;
  }

  private startCheck(service: string): void {
    const delay = new AbortController();
    this.checks.set(service, {delay, done: this.check(service, delay.signal)});
  }

  private async check(service: string, delay: AbortSignal): Promise<void> {
    const {reach, prober} = this.options;
    const startedMs = monotonicMs();
    await sleep(Math.random() * MAX_DELAY_MS, delay);
    const isReached =
      reach.hasHadContact(service) || (await prober.reachesOne(service));
    if (!isReached) await prober.verify(service);
    this.checks.delete(service);
    log.info('Checked whether a service is reached since the start.', {
      service,
      isReached,
      durationMs: Math.round(monotonicMs() - startedMs),
    });
  }
}
