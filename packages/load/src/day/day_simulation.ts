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
import {recordEvent} from './record_event.js';
import type {SimulationOptions} from './simulation_options.js';
import {createRoute} from './create_route.js';
import {VirtualEngines} from './virtual_engines.js';
import {VirtualHost} from './virtual_host.js';

const MS_PER_SECOND = 1_000;
/** Handling of a message by a process, beside the way. */
const PROCESSING_DELAY_MS = 1;
/** Between hosts of one failure domain, one way. */
const SAME_DOMAIN_DELAY_MS = 0.2;
/** Tries to set memory aside, as a gateway makes them. */
const MAX_RESERVATION_ATTEMPTS = 4;
const RESERVATION_RETRY_DELAY_MS = 30;

/** The engines and entry hosts of one virtual day. */
export class DaySimulation {
  private readonly clock = new VirtualClock();
  private readonly engines: VirtualEngines;
  private readonly hosts: readonly VirtualHost[];
  private readonly service: ServiceSpec;
  private nextWorkId = 0;

  constructor(private readonly options: SimulationOptions) {
    const {spec, seed, placement} = options;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const failureDomainAt = (index: number): string =>
      `fd-${index % spec.failureDomains}`;
    this.service = {
      name: 'engines',
      healthPath: '/',
      maxConnections: Infinity,
      engine: spec.engine,
    };
    const engines = spec.failureDomains * spec.enginesPerDomain;
    const engineDomains = Array.from({length: engines}, (_, index) =>
      failureDomainAt(index),
    );
    this.engines = new VirtualEngines(engines, spec.engine, this.clock);
    this.hosts = Array.from(
      {length: spec.failureDomains * spec.hostsPerDomain},
      (_, index) =>
        new VirtualHost({
          failureDomain: failureDomainAt(index),
          placement,
          service: this.service,
          engineDomains,
          random: random,
        }),
    );
  }

  /** Plays the arrivals to the end of the last answer. */
  run(arrivals: readonly DayArrival[]): DayOutcome[] {
    const outcomes: DayOutcome[] = arrivals.map(arrival => ({
      arrival,
      longestPauseMs: 0,
      isCompleted: false,
      prefillEngineCount: 0,
    }));
    for (const outcome of outcomes) {
      const atMs = outcome.arrival.atMs + this.options.spec.clientDelayMs;
      const startMs = this.placementStartMs(atMs + PROCESSING_DELAY_MS);
      this.clock.schedule(startMs, () => this.placeRequest(outcome));
    }
    this.clock.runUntilIdle();
    return outcomes;
  }

  /** When hosts take what arrives at a time. */
  private placementStartMs(atMs: number): number {
    const outage = this.options.spec.outages.find(
      ({fromSecond, toSecond}) =>
        atMs >= fromSecond * MS_PER_SECOND && atMs < toSecond * MS_PER_SECOND,
    );
    return outage ? outage.toSecond * MS_PER_SECOND : atMs;
  }

  private placeRequest(outcome: DayOutcome, reservationAttempts = 0): void {
    const {arrival} = outcome;
    const host = this.hosts[arrival.host]!;
    const decision = host.placements.for(this.service).place({
      service: this.service,
      route: createRoute(arrival),
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
    outcome.prefillEngineCount = decision.helpers.length + 1;
    outcome.predictedFirstEventMs = decision.prediction?.firstEventMs;
    if (this.engines.reserve(decision)) {
      return this.startRequest(host, outcome, decision);
    }
    if (reservationAttempts + 1 >= MAX_RESERVATION_ATTEMPTS) return;
    this.clock.schedule(RESERVATION_RETRY_DELAY_MS, () =>
      this.placeRequest(outcome, reservationAttempts + 1),
    );
  }

  private startRequest(
    host: VirtualHost,
    outcome: DayOutcome,
    decision: PlacementDecision,
  ): void {
    const {clock, engines, options} = this;
    const {arrival} = outcome;
    const claim = new PlacementClaim({
      notices: this.createNotices(host),
      workId: String(this.nextWorkId++),
      decision,
      now: () => clock.nowMs,
    });
    const {failureDomain} = decision.backend.presence;
    const engineDelayMs =
      this.networkDelayMs(host, failureDomain) + PROCESSING_DELAY_MS;
    const eventDelayMs = engineDelayMs + options.spec.clientDelayMs;
    const onEvent = (isLast: boolean): void => {
      recordEvent(outcome, clock.nowMs + eventDelayMs - arrival.atMs, isLast);
      clock.schedule(engineDelayMs, () =>
        this.forwardEvent(decision, claim, isLast),
      );
    };
    clock.schedule(engineDelayMs, () =>
      engines.submit(arrival, decision, onEvent),
    );
  }

  /** A host passes an event on. */
  private forwardEvent(
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
  private createNotices(host: VirtualHost): PlacementClaimOptions['notices'] {
    const {clock} = this;
    return {
      tell: (id, work) =>
        this.broadcast(host, peer => peer.receiveWork(id, work, clock.nowMs)),
      tellEnd: (id, work) =>
        this.broadcast(host, peer =>
          peer.receiveWorkEnd(id, work, clock.nowMs),
        ),
    };
  }

  /** Runs `hear` at each other host when a notice arrives there. */
  private broadcast(
    host: VirtualHost,
    receive: (peer: VirtualHost) => void,
  ): void {
    if (!(this.options.sendsNotices ?? true)) return;
    for (const peer of this.hosts) {
      if (peer === host) continue;
      const delayMs = this.networkDelayMs(host, peer.failureDomain);
      this.clock.schedule(delayMs + PROCESSING_DELAY_MS, () => receive(peer));
    }
  }

  private networkDelayMs(host: VirtualHost, failureDomain: string): number {
    const isSameDomain = host.failureDomain === failureDomain;
    return isSameDomain
      ? SAME_DOMAIN_DELAY_MS
      : this.options.spec.domainDelayMs;
  }
}
