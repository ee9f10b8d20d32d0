import {
  PlacementClaim,
  type PlacementClaimOptions,
  type PlacementDecision,
  type ServiceSpec,
} from '@vanillamux/gateway';
import {VirtualClock} from '@vanillamux/engine';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {DayArrival} from './day_arrival.js';
import type {DayOutcome} from './day_outcome.js';
import {noteEvent} from './note_event.js';
import type {PlayOptions} from './play_options.js';
import {routeOf} from './route_of.js';
import {VirtualEngines} from './virtual_engines.js';
import {VirtualHost} from './virtual_host.js';

const MS_PER_SECOND = 1_000;
/** Handling of a message by a process, beside the way. */
const HANDLING_MS = 1;
/** Between hosts of one failure domain, one way. */
const NEAR_DELAY_MS = 0.2;
/** Tries to set memory aside, as a gateway makes them. */
const MAX_TRIES = 4;
const RETRY_DELAY_MS = 30;

/** The engines and entry hosts of one virtual day. */
export class VirtualDay {
  private readonly clock = new VirtualClock();
  private readonly engines: VirtualEngines;
  private readonly hosts: readonly VirtualHost[];
  private readonly service: ServiceSpec;
  private works = 0;

  constructor(private readonly options: PlayOptions) {
    const {spec, seed, placement} = options;
    const generator = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(generator);
    const domainOf = (at: number): string => `fd-${at % spec.failureDomains}`;
    this.service = {
      name: 'engines',
      healthPath: '/',
      maxConnections: Infinity,
      engine: spec.engine,
    };
    const engines = spec.failureDomains * spec.enginesPerDomain;
    const engineDomains = Array.from({length: engines}, (_, at) =>
      domainOf(at),
    );
    this.engines = new VirtualEngines(engines, spec.engine, this.clock);
    this.hosts = Array.from(
      {length: spec.failureDomains * spec.hostsPerDomain},
      (_, at) =>
        new VirtualHost({
          failureDomain: domainOf(at),
          placement,
          service: this.service,
          engineDomains,
          draw,
        }),
    );
  }

  /** Plays the arrivals to the end of the last answer. */
  play(arrivals: readonly DayArrival[]): DayOutcome[] {
    const outcomes: DayOutcome[] = arrivals.map(arrival => ({
      arrival,
      longestPauseMs: 0,
      isWhole: false,
      engines: 0,
    }));
    for (const outcome of outcomes) {
      const atMs = outcome.arrival.atMs + this.options.spec.clientDelayMs;
      const startMs = this.endOfOutage(atMs + HANDLING_MS);
      this.clock.schedule(startMs, () => this.take(outcome));
    }
    this.clock.runUntilIdle();
    return outcomes;
  }

  /** When hosts take what arrives at a time. */
  private endOfOutage(atMs: number): number {
    const outage = this.options.spec.outages.find(
      ({fromSecond, toSecond}) =>
        atMs >= fromSecond * MS_PER_SECOND && atMs < toSecond * MS_PER_SECOND,
    );
    return outage ? outage.toSecond * MS_PER_SECOND : atMs;
  }

  private take(outcome: DayOutcome, tries = 0): void {
    const {arrival} = outcome;
    const host = this.hosts[arrival.host]!;
    const decision = host.placements.for(this.service).place({
      service: this.service,
      route: routeOf(arrival),
      metadata: {
        requestId: 'virtual',
        promptTokens: arrival.promptTokens,
        expectedOutputTokens: arrival.answerTokens,
        maxOutputTokens: arrival.answerTokens,
      },
      candidates: host.backends,
      nowMs: this.clock.nowMs,
      waitedMs: this.clock.nowMs - arrival.atMs,
    });
    if (!decision) return;
    outcome.engines = decision.helpers.length + 1;
    outcome.expectedMs = decision.prediction?.firstEventMs;
    if (this.engines.reserve(decision)) {
      return this.send(host, outcome, decision);
    }
    if (tries + 1 >= MAX_TRIES) return;
    this.clock.schedule(RETRY_DELAY_MS, () => this.take(outcome, tries + 1));
  }

  private send(
    host: VirtualHost,
    outcome: DayOutcome,
    decision: PlacementDecision,
  ): void {
    const {clock, engines, options} = this;
    const {arrival} = outcome;
    const claim = new PlacementClaim({
      notices: this.noticesOf(host),
      workId: String(this.works++),
      decision,
      now: () => clock.nowMs,
    });
    const {failureDomain} = decision.backend.presence;
    const wayMs = this.delayTo(host, failureDomain) + HANDLING_MS;
    const backMs = wayMs + options.spec.clientDelayMs;
    const onEvent = (isLast: boolean): void => {
      noteEvent(outcome, clock.nowMs + backMs - arrival.atMs, isLast);
      clock.schedule(wayMs, () => this.pass(decision, claim, isLast));
    };
    clock.schedule(wayMs, () => engines.run(arrival, decision, onEvent));
  }

  /** A host passes an event on. */
  private pass(
    decision: PlacementDecision,
    claim: PlacementClaim,
    isLast: boolean,
  ): void {
    claim.markPrefilled();
    if (!isLast) return;
    this.engines.release(decision);
    claim.release();
  }

  /** Takes the notices of one host to the others. */
  private noticesOf(host: VirtualHost): PlacementClaimOptions['notices'] {
    const {clock} = this;
    return {
      tell: (id, work) =>
        this.tellOthers(host, other => other.hearBegin(id, work, clock.nowMs)),
      tellEnd: (id, work) =>
        this.tellOthers(host, other => other.hearEnd(id, work, clock.nowMs)),
    };
  }

  /** Runs `hear` at each other host when a notice arrives there. */
  private tellOthers(
    host: VirtualHost,
    hear: (other: VirtualHost) => void,
  ): void {
    if (!(this.options.notices ?? true)) return;
    for (const other of this.hosts) {
      if (other === host) continue;
      const wayMs = this.delayTo(host, other.failureDomain);
      this.clock.schedule(wayMs + HANDLING_MS, () => hear(other));
    }
  }

  private delayTo(host: VirtualHost, failureDomain: string): number {
    const isNear = host.failureDomain === failureDomain;
    return isNear ? NEAR_DELAY_MS : this.options.spec.domainDelayMs;
  }
}
