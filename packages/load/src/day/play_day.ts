import type {PlacementName} from '@vanillamux/gateway';
import {
  Backend,
  Placements,
  RepeatRule,
  type PlacementDecision,
  type RouteSpec,
  type ServiceSpec,
} from '@vanillamux/gateway';
import {
  VirtualClock,
  VirtualEngine,
  type SubmittedWork,
} from '@vanillamux/engine';
import {PresenceState} from '@vanillamux/protocol';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {DayArrival} from './day_arrival.js';
import type {DayOutcome} from './day_outcome.js';
import type {DaySpec} from './day_spec.js';
import {planDay} from './plan_day.js';

const MS_PER_SECOND = 1_000;
/** Handling of a message by a process, beside the way. */
const HANDLING_MS = 1;
/** Between hosts of one failure domain, one way. */
const NEAR_DELAY_MS = 0.2;

/** Options of `playDay`. */
export interface PlayOptions {
  readonly spec: DaySpec;
  readonly seed: number;
  readonly placement: PlacementName;
  /** Whether entry hosts tell each other what they place. */
  readonly notices?: boolean;
}

/** Tries to set memory aside, as a gateway makes them. */
const MAX_TRIES = 4;
const RETRY_DELAY_MS = 30;

interface VirtualHost {
  readonly domain: number;
  readonly placements: Placements;
  /** Its view of each engine. */
  readonly backends: readonly Backend[];
}

/** Plays a virtual day with one placement; the same options repeat. */
export function playDay(options: PlayOptions): DayOutcome[] {
  const day = new Day(options);
  return day.play(planDay(options.spec, options.seed));
}

/** The engines and entry hosts of one virtual day. */
class Day {
  private readonly clock = new VirtualClock();
  private readonly engines: VirtualEngine[];
  private readonly hosts: VirtualHost[];
  private readonly service: ServiceSpec;
  private readonly draw: () => number;
  private works = 0;

  constructor(private readonly options: PlayOptions) {
    const {spec, seed} = options;
    const generator = xoroshiro128plus(seed);
    this.draw = () => uniformFloat64(generator);
    const engines = spec.failureDomains * spec.enginesPerDomain;
    const hosts = spec.failureDomains * spec.hostsPerDomain;
    this.service = {
      name: 'engines',
      healthPath: '/',
      maxConnections: Infinity,
      engine: spec.engine,
    };
    this.engines = Array.from(
      {length: engines},
      () => new VirtualEngine(spec.engine, this.clock),
    );
    this.hosts = Array.from({length: hosts}, (_, at) => this.createHost(at));
  }

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
      this.clock.after(startMs, () => this.take(outcome));
    }
    this.clock.run();
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

  private createHost(at: number): VirtualHost {
    const {spec, placement} = this.options;
    const domain = at % spec.failureDomains;
    const backends = this.engines.map(
      (_, engine) =>
        new Backend({
          id: String(engine),
          incarnation: 1,
          sequence: 1,
          state: PresenceState.Ready,
          service: this.service.name,
          address: {host: 'engine', port: engine + 1},
          failureDomain: domainName(engine % spec.failureDomains),
          capacity: spec.engine.batchSize,
        }),
    );
    const placements = new Placements(placement, domainName(domain), this.draw);
    return {domain, placements, backends};
  }

  private take(outcome: DayOutcome, tries = 0): void {
    const {arrival} = outcome;
    const host = this.hosts[arrival.host]!;
    const decision = host.placements.for(this.service).place({
      service: this.service,
      route: routeOf(arrival),
      facts: {
        attemptId: 'virtual',
        promptTokens: arrival.promptTokens,
        answerTokens: arrival.answerTokens,
        maxAnswerTokens: arrival.answerTokens,
      },
      candidates: host.backends,
      nowMs: this.clock.nowMs,
      waitedMs: this.clock.nowMs - arrival.atMs,
    });
    if (!decision) return;
    outcome.engines = decision.helpers.length + 1;
    outcome.expectedMs = decision.figures?.firstEventMs;
    if (this.reserve(decision)) return this.send(host, outcome, decision);
    if (tries + 1 >= MAX_TRIES) return;
    this.clock.after(RETRY_DELAY_MS, () => this.take(outcome, tries + 1));
  }

  /** Sets the memory aside that the decision asks for, all of it or none. */
  private reserve({memory}: PlacementDecision): boolean {
    const held: (typeof memory)[number][] = [];
    for (const share of memory) {
      if (this.engineOf(share.backend).reserve(share.tokens)) held.push(share);
    }
    if (held.length === memory.length) return true;
    for (const {backend, tokens} of held)
      this.engineOf(backend).release(tokens);
    return false;
  }

  private send(
    host: VirtualHost,
    outcome: DayOutcome,
    decision: PlacementDecision,
  ): void {
    const {clock} = this;
    const id = String(this.works++);
    decision.backend.inFlight++;
    for (const {backend, item} of decision.work) {
      backend.work.add(id, item, clock.nowMs);
    }
    this.tellOthers(host, id, decision);
    const onEvent = (isLast: boolean): void => {
      for (const {backend} of decision.work) {
        backend.work.markPrefilled(id, clock.nowMs);
      }
      if (isLast) this.end(host, id, decision);
    };
    const delayMs = this.delayTo(host, decision.backend) + HANDLING_MS;
    clock.after(delayMs, () => this.run(outcome, decision, delayMs, onEvent));
  }

  /** The engines work; `onEvent` hears of events as they reach the host. */
  private run(
    outcome: DayOutcome,
    decision: PlacementDecision,
    delayMs: number,
    onEvent: (isLast: boolean) => void,
  ): void {
    const {clock} = this;
    const {arrival} = outcome;
    const parts = decision.helpers.length + 1;
    const promptTokens = Math.ceil(arrival.promptTokens / parts);
    const promptPairs = arrival.promptTokens ** 2 / 2 / parts;
    const backMs = delayMs + this.options.spec.clientDelayMs;
    let lastMs = 0;
    const noteEvent = (isLast: boolean): void => {
      const atMs = clock.nowMs + backMs - arrival.atMs;
      if (outcome.firstEventMs === undefined) outcome.firstEventMs = atMs;
      else {
        const pauseMs = atMs - lastMs;
        outcome.longestPauseMs = Math.max(outcome.longestPauseMs, pauseMs);
      }
      lastMs = atMs;
      if (isLast) outcome.isWhole = atMs <= arrival.kind.deadlineMs;
      clock.after(delayMs, () => onEvent(isLast));
    };
    const whole: SubmittedWork = this.engineOf(decision.backend).submit({
      promptTokens,
      promptPairs,
      answerTokens: arrival.events * this.options.spec.engine.stepsPerPass,
      contextTokens: decision.memory.length > 0 ? 0 : arrival.promptTokens,
      otherParts: decision.helpers.length,
      onEvent: noteEvent,
    });
    for (const helper of decision.helpers) {
      this.engineOf(helper).submit({
        promptTokens,
        promptPairs,
        answerTokens: 0,
        contextTokens: 0,
        otherParts: 0,
        onPrefilled: () => whole.notePart(),
      });
    }
  }

  /** The answer is whole at its host, which tells the others. */
  private end(
    host: VirtualHost,
    id: string,
    {backend, memory, work}: PlacementDecision,
  ): void {
    const {nowMs} = this.clock;
    backend.inFlight--;
    for (const share of memory) {
      this.engineOf(share.backend).release(share.tokens);
    }
    for (const placed of work) placed.backend.work.remove(id, nowMs);
    this.tell(host, other => {
      for (const placed of work) {
        viewOf(other, placed.backend).work.remove(id, this.clock.nowMs);
      }
    });
  }

  private tellOthers(
    host: VirtualHost,
    id: string,
    {work}: PlacementDecision,
  ): void {
    this.tell(host, other => {
      for (const {backend, item} of work) {
        viewOf(other, backend).work.addForeign(id, item, this.clock.nowMs);
      }
    });
  }

  /** Runs `take` at each other host when a notice arrives there. */
  private tell(host: VirtualHost, take: (other: VirtualHost) => void): void {
    if (!(this.options.notices ?? true)) return;
    for (const other of this.hosts) {
      if (other === host) continue;
      const isNear = other.domain === host.domain;
      const wayMs = isNear ? NEAR_DELAY_MS : this.options.spec.domainDelayMs;
      this.clock.after(wayMs + HANDLING_MS, () => take(other));
    }
  }

  private delayTo(host: VirtualHost, {presence}: Backend): number {
    const isNear = presence.failureDomain === domainName(host.domain);
    return isNear ? NEAR_DELAY_MS : this.options.spec.domainDelayMs;
  }

  private engineOf({presence}: Backend): VirtualEngine {
    return this.engines[Number(presence.id)]!;
  }
}

/** How a host sees an engine that another host knows. */
function viewOf(host: VirtualHost, {presence}: Backend): Backend {
  return host.backends[Number(presence.id)]!;
}

function domainName(at: number): string {
  return `fd-${at}`;
}

function routeOf({kind}: DayArrival): RouteSpec {
  return {
    name: kind.name,
    host: 'virtual.example',
    pathPrefix: '/',
    repeat: RepeatRule.Idempotent,
    isStream: true,
    isResumable: true,
    timeoutMs: kind.deadlineMs,
    goalMs: kind.goalMs,
    pauseGoalMs: kind.pauseGoalMs,
    priority: 1,
    targets: [{service: 'engines', weight: 1}],
    maxAttempts: 2,
    isAnonymous: false,
  };
}
