import type {Presence} from '@vanillamux/protocol';
import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {FailureFact} from './failure_fact.js';
import {FailingPhase} from './failing_phase.js';

/** Entry hosts from which on one sees too little of a backend server itself. */
const MIN_HOSTS = 30;
/** Weight of failures from which on a backend server fails: two in 2.9 s. */
const MIN_WEIGHT = 1.6;
/** Multiple of what others of the service fail that is beyond it. */
const USUAL_FACTOR = 2;
const MAX_FACTS_PER_NOTICE = 8;

const log = getLogger('backends');

/** Options of `FailingBackends`. */
export interface FailingBackendsOptions {
  readonly notices: Pick<PeerNotices, 'failureNotices' | 'broadcastFacts'>;
  readonly backends: Pick<BackendPool, 'candidates' | 'get' | 'list'>;
  /** Whether the settings of the deployment ask for it. */
  readonly isEnabled: boolean;
  /** Returns the number of entry hosts. */
  readonly hostCount: () => number;
  readonly now?: () => number;
}

/**
 * Judges by the failures of all entry hosts together which backend servers fail
 * more requests than others of their service, whatever their health says.
 */
export class FailingBackends extends FactSource {
  private readonly now: () => number;

  constructor(private readonly options: FailingBackendsOptions) {
    super();
    this.now = options.now ?? monotonicMs;
    void options.notices.failureNotices().observe(({facts}) => {
      if (this.isInForce) for (const fact of facts) this.merge(fact);
    });
  }

  /** Learns that a backend server has failed a request of this host. */
  learn(backend: Backend, requestId: string): void {
    if (!this.isInForce) return;
    backend.evidence.record(this.now());
    this.judge(backend, requestId);
    const facts = [this.factOf(backend)];
    this.options.notices.broadcastFacts({failures: {facts}});
  }

  /** Number of backend servers that fail more requests than others. */
  get size(): number {
    return this.list().length;
  }

  takeFacts(): PeerFacts | undefined {
    const facts = this.list()
      .slice(0, MAX_FACTS_PER_NOTICE)
      .map(backend => this.factOf(backend));
    return facts.length === 0 ? undefined : {failures: {facts}};
  }

  private get isInForce(): boolean {
    const {isEnabled, hostCount} = this.options;
    return isEnabled && hostCount() >= MIN_HOSTS;
  }

  private merge({backend: id, incarnation, weight, ageMs}: FailureFact): void {
    const backend = this.options.backends.get(id);
    if (backend?.presence.incarnation !== incarnation) return;
    backend.evidence.merge(weight, ageMs, this.now());
    this.judge(backend);
  }

  /** Judges a backend server after a failure, unless it is avoided already. */
  private judge({evidence, presence}: Backend, requestId?: string): void {
    const nowMs = this.now();
    if (evidence.phase(nowMs) !== FailingPhase.Sound) return;
    const weight = evidence.weightAtLatest(nowMs);
    if (weight < MIN_WEIGHT) return;
    const usual = this.usualWeight(presence);
    if (weight < MIN_WEIGHT + USUAL_FACTOR * usual) return;
    evidence.judgeFailing();
    log.info('A backend server fails more requests than others.', {
      request: requestId,
      backend: presence.id,
      incarnation: presence.incarnation,
      ageMs: Math.round(evidence.ageMs(nowMs)),
      weight: Number(weight.toFixed(2)),
      usual: Number(usual.toFixed(2)),
    });
  }

  /** Median weight of the other backend servers of the service. */
  private usualWeight({id, service}: Presence): number {
    const nowMs = this.now();
    const weights = this.options.backends
      .candidates(service)
      .filter(({presence}) => presence.id !== id)
      .map(({evidence}) => evidence.weightAt(nowMs))
      .sort((a, b) => a - b);
    return weights[Math.floor(weights.length / 2)] ?? Infinity;
  }

  private factOf({evidence, presence}: Backend): FailureFact {
    const nowMs = this.now();
    return {
      backend: presence.id,
      incarnation: presence.incarnation,
      weight: evidence.weightAt(nowMs),
      ageMs: Math.max(0, evidence.ageMs(nowMs)),
    };
  }

  private list(): Backend[] {
    const nowMs = this.now();
    return this.options.backends
      .list()
      .filter(({evidence}) => evidence.phase(nowMs) !== FailingPhase.Sound);
  }
}
