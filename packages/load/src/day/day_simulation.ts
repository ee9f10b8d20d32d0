import {
  AdmissionPolicyName,
  createAdmissionPolicy,
  observePace,
  PlacementClaim,
  ServiceUrgencies,
  type Backend,
  type PlacementClaimOptions,
  type PlacementDecision,
  type ServiceSpec,
} from '@vanillamux/gateway';
import {MAX_HELPER_ENTRIES, VirtualClock} from '@vanillamux/engine';
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
/** Time a process takes to handle a message, on top of the network delay. */
const PROCESSING_DELAY_MS = 1;
/** One-way delay between hosts of one failure domain. */
const SAME_DOMAIN_DELAY_MS = 0.2;
/** Attempts to reserve KV memory, as many as a gateway makes. */
const MAX_RESERVATION_ATTEMPTS = 4;
const RESERVATION_RETRY_DELAY_MS = 30;

/** Returns that a client makes after refusals. */
const MAX_RETURNS = 1;

/** An event of a stream that has reached the entry host. */
interface ForwardedEvent {
  readonly decision: PlacementDecision;
  readonly claim: PlacementClaim;
  readonly isLast: boolean;
  /** Time since the event before; 0 for the first. */
  readonly pauseMs: number;
}

/** A discrete-event simulation of the engines and entry hosts of one day. */
export class DaySimulation {
  private readonly clock = new VirtualClock();
  private readonly engines: VirtualEngines;
  private readonly hosts: readonly VirtualHost[];
  private readonly service: ServiceSpec;
  private readonly urgencies: ServiceUrgencies;
  private nextWorkId = 0;

  constructor(private readonly options: SimulationOptions) {
    const {spec, seed, placement, admission, sharesView} = options;
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
    this.urgencies = new ServiceUrgencies({
      routes: spec.classes.map(createRoute),
      workspaces: [],
    });
    this.engines = new VirtualEngines(engines, spec.engine, this.clock);
    const createHost = (_: unknown, index: number): VirtualHost =>
      new VirtualHost({
        failureDomain: failureDomainAt(index),
        placement,
        admission: createAdmissionPolicy(
          admission ?? AdmissionPolicyName.Backlog,
          random,
        ),
        service: this.service,
        engineDomains,
        random,
      });
    const length = spec.failureDomains * spec.hostsPerDomain;
    this.hosts = sharesView
      ? Array<VirtualHost>(length).fill(createHost(undefined, 0))
      : Array.from({length}, createHost);
  }

  /** Simulates the arrivals until the last response has ended. */
  run(arrivals: readonly DayArrival[]): DayOutcome[] {
    const outcomes: DayOutcome[] = arrivals.map(arrival => ({
      arrival,
      longestPauseMs: 0,
      isCompleted: false,
      refusals: 0,
      prefillEngineCount: 0,
    }));
    for (const outcome of outcomes) {
      const atMs = outcome.arrival.atMs + this.options.spec.clientDelayMs;
      const startMs = this.placementStartMs(atMs + PROCESSING_DELAY_MS);
      this.clock.schedule(startMs, () => this.placeRequest(outcome));
    }
    this.scheduleSlowdowns();
    this.clock.runUntilIdle();
    return outcomes;
  }

  private scheduleSlowdowns(): void {
    for (const slowdown of this.options.spec.slowdowns) {
      const {engines, factor, fromSecond, toSecond} = slowdown;
      this.clock.schedule(fromSecond * MS_PER_SECOND, () =>
        this.engines.setPace(engines, factor),
      );
      this.clock.schedule(toSecond * MS_PER_SECOND, () =>
        this.engines.setPace(engines, 1),
      );
    }
  }

  /** When a host places a request that arrives at `atMs`: after any outage. */
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
    const {service} = this;
    const {nowMs} = this.clock;
    const route = createRoute(arrival.requestClass);
    const metadata = {
      requestId: 'virtual',
      promptTokens: arrival.promptTokens,
      expectedOutputTokens: arrival.answerTokens,
      maxOutputTokens: arrival.answerTokens,
    };
    const backends = this.presentBackends(host);
    const decision = host.placements.for(service).place({
      service,
      route,
      metadata,
      candidates: backends,
      maxHelperEntries: MAX_HELPER_ENTRIES,
      nowMs,
      waitedMs: nowMs - arrival.atMs,
    });
    if (!decision) return;
    const refusal =
      reservationAttempts === 0
        ? host.admission.refuse({
            service,
            metadata,
            route: route.name,
            urgency: this.urgencies.of(
              service.name,
              route.priority,
              route.priority,
            ),
            workspace: arrival.workspace,
            latencyGoalMs: route.latencyGoalMs,
            prediction: decision.prediction,
            backends,
            nowMs,
          })
        : undefined;
    if (refusal) return this.refuseRequest(outcome, refusal.returnMs);
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

  /** Backend servers of the engines that have not left, as a host sees them. */
  private presentBackends({backends}: VirtualHost): readonly Backend[] {
    const second = this.clock.nowMs / MS_PER_SECOND;
    const departed = this.options.spec.departures.find(
      ({fromSecond, toSecond}) => second >= fromSecond && second < toSecond,
    );
    return departed ? backends.slice(departed.engines) : backends;
  }

  /** Refuses a request, whose client may return. */
  private refuseRequest(outcome: DayOutcome, returnMs: number): void {
    outcome.refusals++;
    if (outcome.refusals > MAX_RETURNS) return;
    this.clock.schedule(returnMs, () => this.placeRequest(outcome));
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
    let lastEventMs: number | undefined;
    const onEvent = (isLast: boolean): void => {
      recordEvent(outcome, clock.nowMs + eventDelayMs - arrival.atMs, isLast);
      const pauseMs = clock.nowMs - (lastEventMs ?? clock.nowMs);
      lastEventMs = clock.nowMs;
      clock.schedule(engineDelayMs, () =>
        this.forwardEvent({decision, claim, isLast, pauseMs}),
      );
    };
    clock.schedule(engineDelayMs, () => {
      if (engines.submit(arrival, decision, onEvent)) return;
      engines.release(decision);
      claim.release();
    });
  }

  /** Handles an event at the entry host, which forwards it to the client. */
  private forwardEvent({
    decision,
    claim,
    isLast,
    pauseMs,
  }: ForwardedEvent): void {
    const {engine} = this.service;
    const {nowMs} = this.clock;
    const {observesPace = true} = this.options;
    if (engine && observesPace && pauseMs > 0)
      observePace(decision.backend, engine, {pauseMs, nowMs});
    claim.markPrefilled();
    if (!isLast) return;
    this.engines.release(decision);
    claim.release();
  }

  /** Creates a sender that delivers the notices of a host to its peers. */
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

  /** Runs `receive` for each peer after the network delay to that peer. */
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
