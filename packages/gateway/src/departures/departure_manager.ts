import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {DepartureFact} from './departure_fact.js';

const MAX_FACTS_PER_NOTICE = 8;

const log = getLogger('backends');

/** Options of a `DepartureManager`. */
export interface DepartureManagerOptions {
  readonly notices: PeerNotices;
  readonly backends: BackendPool;
}

/**
 * Takes backend servers out of use that say in a response that they leave, on
 * every entry host, before the control hosts report it.
 */
export class DepartureManager extends FactSource {
  constructor(private readonly options: DepartureManagerOptions) {
    super();
    void options.notices.departureNotices().observe(({facts}) => {
      for (const fact of facts) this.record(fact, 'peer');
    });
  }

  takeFacts(): PeerFacts | undefined {
    const {departures} = this.options.backends;
    departures.deleteExpired(fact => this.isKnown(fact), monotonicMs());
    // What a host doesn't know itself may have ended; it isn't passed on.
    const facts = departures
      .takeFacts(MAX_FACTS_PER_NOTICE)
      .filter(fact => this.isKnown(fact));
    return facts.length === 0 ? undefined : {departures: {facts}};
  }

  /** Learns from a response of a backend server that it leaves. */
  learn({presence}: Backend, requestId: string): void {
    const {id: backend, incarnation} = presence;
    const fact = {backend, incarnation};
    if (!this.record(fact, 'own', requestId)) return;
    this.options.notices.broadcastFacts({departures: {facts: [fact]}});
  }

  private record(
    fact: DepartureFact,
    source: 'own' | 'peer',
    requestId?: string,
  ): boolean {
    const {backends} = this.options;
    if (!backends.departures.record(fact, monotonicMs())) return false;
    log.info('A backend server leaves.', {
      ...fact,
      source,
      request: requestId,
      isKnown: this.isKnown(fact),
      state: backends.get(fact.backend)?.presence.state,
    });
    return true;
  }

  private isKnown({backend, incarnation}: DepartureFact): boolean {
    const known = this.options.backends.get(backend);
    return known?.presence.incarnation === incarnation;
  }
}
