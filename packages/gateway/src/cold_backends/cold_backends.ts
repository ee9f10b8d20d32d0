import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {ConfigStore} from '../link/config_store.js';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {PermitRate} from '../request_limits/permit_rate.js';
import type {ColdBounds} from './cold_bounds.js';
import {coldDeputyRate} from './cold_deputy_rate.js';
import type {ColdFact} from './cold_fact.js';
import {coldPermitRate} from './cold_permit_rate.js';

const MAX_FACTS_PER_NOTICE = 8;

const log = getLogger('backends');

/** Options of `ColdBackends`. */
export interface ColdBackendsOptions {
  readonly bounds: ColdBounds;
  readonly notices: Pick<PeerNotices, 'coldNotices'>;
  readonly backends: Pick<BackendPool, 'get' | 'list'>;
  readonly configStore: Pick<ConfigStore, 'current'>;
  readonly now?: () => number;
}

/**
 * Knows which backend servers are cold and at which rate permits for them are
 * issued. Control hosts report it; peers tell hosts that reach none of them.
 */
export class ColdBackends extends FactSource {
  private readonly now: () => number;
  /** Backend servers whose facts were taken; the others go first. */
  private readonly taken = new Set<Backend>();

  constructor(private readonly options: ColdBackendsOptions) {
    super();
    this.now = options.now ?? monotonicMs;
    void options.notices.coldNotices().observe(({facts}) => {
      for (const fact of facts) this.merge(fact);
    });
  }

  /** Number of backend servers that are cold. */
  get size(): number {
    return this.list().length;
  }

  /** Rate of the permits for a backend server; none while it needs none. */
  permitRate(backend: Backend): PermitRate | undefined {
    const maxPerSecond = this.maxPerSecond(backend);
    return maxPerSecond === undefined
      ? undefined
      : coldPermitRate(maxPerSecond);
  }

  /** Rate of the permits that a deputy of the owner issues; none if it may not. */
  deputyRate(backend: Backend): PermitRate | undefined {
    const maxPerSecond = this.maxPerSecond(backend);
    return maxPerSecond === undefined
      ? undefined
      : coldDeputyRate(maxPerSecond);
  }

  /** Returns what this host knows of a backend server that is cold. */
  factOf({cold, presence}: Backend): ColdFact {
    return {
      backend: presence.id,
      incarnation: presence.incarnation,
      sequence: cold.sequence,
      leftMs: Math.ceil(cold.leftMs(this.now())),
    };
  }

  /** Applies a fact of a peer, unless a later report is known. */
  merge({backend: id, incarnation, sequence, leftMs}: ColdFact): void {
    const backend = this.options.backends.get(id);
    if (backend?.presence.incarnation !== incarnation) return;
    if (!backend.cold.record(sequence, leftMs, this.now())) return;
    log.info('A peer knows whether a backend server is cold.', {
      backend: id,
      incarnation,
      sequence,
      leftMs,
    });
  }

  takeFacts(): PeerFacts | undefined {
    const cold = this.list();
    const left = cold.filter(backend => !this.taken.has(backend));
    if (left.length <= MAX_FACTS_PER_NOTICE) this.taken.clear();
    const portion = left.slice(0, MAX_FACTS_PER_NOTICE);
    if (left.length > MAX_FACTS_PER_NOTICE)
      for (const backend of portion) this.taken.add(backend);
    if (portion.length === 0) return undefined;
    return {cold: {facts: portion.map(backend => this.factOf(backend))}};
  }

  /** Requests that a cold backend server may get in any second. */
  private maxPerSecond({cold, presence}: Backend): number | undefined {
    if (!cold.isCold(this.now())) return undefined;
    const {bounds, configStore} = this.options;
    const service = configStore.current?.findService(presence.service);
    const {coldRatePerS = 0} = service ?? {};
    if (coldRatePerS <= 0) return undefined;
    return coldRatePerS * bounds.overshoot + bounds.allowance;
  }

  private list(): Backend[] {
    const nowMs = this.now();
    return this.options.backends.list().filter(({cold}) => cold.isCold(nowMs));
  }
}
