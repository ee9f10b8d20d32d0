import {monotonicMs, sleep} from '@vanillamux/shared';
import type {ConnectionPools} from '../connection/connection_pools.js';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {ServiceReach} from './service_reach.js';

const PROBE_INTERVAL_MS = 250;
/** Backend servers that are probed at a time, chosen at random. */
const PROBED_BACKENDS = 2;

/** Options of a `ReachProber`. */
export interface ReachProberOptions {
  readonly reach: ServiceReach;
  readonly backends: BackendPool;
  readonly connections: ConnectionPools;
}

/**
 * Finds out when a lost service can be reached again. No client has to try:
 * connections are opened, without a request, until one is accepted.
 */
export class ReachProber {
  private readonly stopping = new AbortController();

  constructor(private readonly options: ReachProberOptions) {
    void options.reach.changes().observe(({service, isLost}) => {
      if (isLost) void this.probe(service);
    });
  }

  /** Ends all probes. */
  stop(): void {
    this.stopping.abort();
  }

  private async probe(service: string): Promise<void> {
    const {reach, connections} = this.options;
    const {signal} = this.stopping;
    while (reach.isLost(service) && !signal.aborted) {
      const probed = this.chooseBackends(service);
      const reached = await Promise.all(
        probed.map(async backend =>
          (await connections.probe(backend)) ? backend : undefined,
        ),
      );
      const first = reached.find(backend => backend !== undefined);
      if (first) {
        reach.recordContact(service, first.presence.id, monotonicMs());
        return;
      }
      reach.confirmLoss(service);
      await sleep(PROBE_INTERVAL_MS, signal);
    }
  }

  private chooseBackends(service: string): Backend[] {
    const all = this.options.backends.candidates(service);
    const start = Math.floor(Math.random() * all.length);
    return [...all.slice(start), ...all.slice(0, start)].slice(
      0,
      PROBED_BACKENDS,
    );
  }
}
