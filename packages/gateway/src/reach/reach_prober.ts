import {monotonicMs, sleep} from '@vanillamux/shared';
import type {ConnectionPools} from '../connection/connection_pools.js';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {ServiceReach} from './service_reach.js';

const PROBE_INTERVAL_MS = 250;
/** Backend servers of a lost service that are probed at a time. */
const PROBED_BACKENDS = 2;
/** Backend servers of a service in doubt that are probed; enough to lose it. */
const VERIFIED_BACKENDS = 3;

/** Options of a `ReachProber`. */
export interface ReachProberOptions {
  readonly reach: ServiceReach;
  readonly backends: Pick<BackendPool, 'candidates' | 'services'>;
  readonly connections: Pick<ConnectionPools, 'probe'>;
}

/**
 * Opens connections without a request, to find out when a lost service can be
 * reached again, and whether one in doubt is lost. Few requests would find out
 * late, and those that may run once would be lost to it.
 */
export class ReachProber {
  private readonly stopping = new AbortController();
  /** When each service was last verified. */
  private readonly verifiedMs = new Map<string, number>();
  /** Verifications that have not ended. */
  private readonly verifying = new Map<string, Promise<void>>();

  constructor(private readonly options: ReachProberOptions) {
    const {reach, backends} = options;
    void reach.changes().observe(({service, isLost}) => {
      if (!isLost) return;
      void this.probe(service);
      // What cuts the host off from one service may cut it off from others.
      for (const other of backends.services()) void this.verify(other);
    });
    void reach.doubts().observe(service => void this.verify(service));
  }

  /** Ends all probes. */
  stop(): void {
    this.stopping.abort();
  }

  /** Whether a backend server of a service, chosen at random, is reached. */
  async reachesOne(service: string): Promise<boolean> {
    const [probed] = await this.probeSome(service, 1);
    return probed?.isReached ?? false;
  }

  /**
   * Verifies a service; it is lost if no probe succeeds. Waits for the end of a
   * verification that has begun, and does nothing shortly after one.
   */
  async verify(service: string): Promise<void> {
    const running = this.verifying.get(service);
    if (running) return running;
    const {reach} = this.options;
    const verifiedMs = this.verifiedMs.get(service) ?? -Infinity;
    const isRecent = monotonicMs() - verifiedMs < PROBE_INTERVAL_MS;
    if (isRecent || reach.isLost(service) || this.stopping.signal.aborted)
      return;
    this.verifiedMs.set(service, monotonicMs());
    const verification = this.recordFailures(service).finally(() =>
      this.verifying.delete(service),
    );
    this.verifying.set(service, verification);
    await verification;
  }

  private async probe(service: string): Promise<void> {
    const {reach} = this.options;
    const {signal} = this.stopping;
    while (reach.isLost(service) && !signal.aborted) {
      const reached = await this.probeSome(service, PROBED_BACKENDS);
      const first = reached.find(({isReached}) => isReached);
      if (first) {
        reach.recordContact(service, first.backendId, monotonicMs());
        return;
      }
      reach.confirmLoss(service);
      await sleep(PROBE_INTERVAL_MS, signal);
    }
  }

  /** Probes a service, and records the failures if all probes fail. */
  private async recordFailures(service: string): Promise<void> {
    const {reach, backends} = this.options;
    const {signal} = this.stopping;
    const probed = await this.probeSome(service, VERIFIED_BACKENDS);
    // One that accepts a connection may still reset it with a request.
    if (probed.some(({isReached}) => isReached) || signal.aborted) return;
    const {length} = backends.candidates(service);
    for (const {backendId} of probed)
      reach.recordFailure(service, backendId, length, monotonicMs());
  }

  /** Probes some backend servers of a service, chosen at random. */
  private probeSome(
    service: string,
    count: number,
  ): Promise<Array<{backendId: string; isReached: boolean}>> {
    const {backends, connections} = this.options;
    const all = backends.candidates(service);
    const start = Math.floor(Math.random() * all.length);
    const chosen: Backend[] = [
      ...all.slice(start),
      ...all.slice(0, start),
    ].slice(0, count);
    return Promise.all(
      chosen.map(async backend => ({
        backendId: backend.presence.id,
        isReached: await connections.probe(backend),
      })),
    );
  }
}
