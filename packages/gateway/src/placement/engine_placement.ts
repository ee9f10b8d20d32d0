import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import type {WorkItem} from '../fleet/work_item.js';
import {lateChance} from './late_chance.js';
import {stakeOf} from './stake_of.js';
import {EngineOutlook} from './engine_outlook.js';
import {prefillMs} from './prefill_ms.js';
import {stepMs} from './step_ms.js';
import {Placement} from './placement.js';
import type {MemoryShare} from './memory_share.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Numbers of engines that are weighed; bound of the engines' protocol is 17. */
const ENGINE_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];
/** Prompt processing below which splitting a prompt is not weighed. */
const SPLIT_FROM_MS = 40;
/** Credit that one more engine must bring. */
const ENGINE_COST = 0.002;
/**
 * Credit of a millisecond until the first event. It also keeps prompts that are
 * late in any case from blocking one engine for seconds.
 */
const CREDIT_PER_MS = 0.004;
/** Credit that bytes to another failure domain cost. */
const REMOTE_COST = 0.006;
/** Credit of a request to an engine that fails all of them. */
const FAILURE_COST = 2;
/**
 * Credit that work costs on an engine without streams. Those are kept for long
 * prompts, which hold up every stream beside them; short work gathers elsewhere.
 */
const IDLE_ENGINE_COST = 0.2;
/** Keeps hosts with the same view from choosing alike. */
const JITTER_CREDIT = 0.004;
/** Share of an engine's memory that one reservation may take. */
const MEMORY_SHARE = 0.85;

interface Rated {
  readonly outlook: EngineOutlook;
  /** Credit that a part of the prompt is expected to cost here. */
  readonly cost: number;
  /** Orders the engines; between equal costs, earlier ones go first. */
  readonly rank: number;
}

interface Plan {
  readonly engines: readonly EngineOutlook[];
  readonly partMs: number;
  readonly firstEventMs: number;
  readonly loss: number;
}

/**
 * Places prompts on model engines by the credit that is expected to be lost:
 * by the request itself, if its first event comes late, and by the streams and
 * waiting requests of the engines that process it. Long prompts are split over
 * as many engines as lose least.
 */
export class EnginePlacement extends Placement {
  constructor(
    private readonly failureDomain: string,
    private readonly draw: () => number = Math.random,
  ) {
    super();
  }

  place(request: PlacementRequest): PlacementDecision | undefined {
    const {service, facts, candidates, nowMs} = request;
    const spec = service.engine;
    if (!spec || candidates.length === 0) return undefined;
    const outlooks = candidates.map(
      backend => new EngineOutlook(backend, spec, nowMs),
    );
    const tokens = facts.promptTokens + facts.maxOutputTokens;
    const shares = this.memoryShares(outlooks, tokens, spec);
    if (!shares) return undefined;
    const plan = this.bestPlan(request, spec, outlooks, shares);
    const first = shares[0]?.backend ?? this.firstOf(plan, tokens).backend;
    return this.decide(request, spec, plan, first, shares);
  }

  /**
   * The engines that have to hold a context that no engine can hold alone, the
   * answering one first; none where one engine is enough. `undefined` when all
   * of them together are too small.
   */
  private memoryShares(
    outlooks: readonly EngineOutlook[],
    tokens: number,
    spec: EngineSpec,
  ): MemoryShare[] | undefined {
    if (tokens <= spec.memoryTokens) return [];
    const count = Math.ceil(tokens / (MEMORY_SHARE * spec.memoryTokens));
    if (count > outlooks.length) return undefined;
    const share = Math.ceil(tokens / count);
    return outlooks
      .slice()
      .sort((a, b) => a.tokens - b.tokens)
      .slice(0, count)
      .map(({backend}) => ({backend, tokens: share}));
  }

  private bestPlan(
    request: PlacementRequest,
    spec: EngineSpec,
    outlooks: readonly EngineOutlook[],
    shares: readonly MemoryShare[],
  ): Plan {
    const wholeMs = prefillMs(spec, request.facts.promptTokens);
    const holders = shares.map(({backend}) => backend);
    let best: Plan | undefined;
    // The engines that hold the context are enough for a plan of their own.
    const counts = new Set([...ENGINE_COUNTS, Math.max(1, holders.length)]);
    for (const count of counts) {
      if (count > outlooks.length || count < holders.length) continue;
      if (count > 1 && wholeMs < SPLIT_FROM_MS) continue;
      const plan = this.plan(request, outlooks, holders, wholeMs, count);
      if (!best || plan.loss < best.loss) best = plan;
    }
    return best!;
  }

  private plan(
    request: PlacementRequest,
    outlooks: readonly EngineOutlook[],
    holders: readonly Backend[],
    wholeMs: number,
    count: number,
  ): Plan {
    const partMs = wholeMs / count;
    const rated = outlooks
      .map(outlook => this.rate(request, outlook, holders, partMs))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count);
    const engines = rated.map(({outlook}) => outlook);
    const firstMs = Math.max(
      ...engines.map(outlook => outlook.firstEventMs(partMs)),
    );
    const waitedMs = request.waitedMs;
    const ownLoss =
      stakeOf(request.facts) *
      lateChance(firstMs + waitedMs, request.route.latencyGoalMs);
    const loss =
      ownLoss +
      firstMs * CREDIT_PER_MS +
      rated.reduce((sum, {cost}) => sum + cost, 0);
    return {engines, partMs, firstEventMs: firstMs, loss};
  }

  /** Credit that a part of the prompt costs on one engine. */
  private rate(
    {nowMs}: PlacementRequest,
    outlook: EngineOutlook,
    holders: readonly Backend[],
    partMs: number,
  ): Rated {
    const {presence, failures} = outlook.backend;
    const isRemote = presence.failureDomain !== this.failureDomain;
    const cost =
      outlook.harm(partMs) +
      ENGINE_COST +
      (isRemote ? REMOTE_COST : 0) +
      (outlook.isFree ? IDLE_ENGINE_COST : 0) +
      FAILURE_COST * failures.failureRate(nowMs);
    // Engines that hold the context are part of every plan.
    if (holders.includes(outlook.backend)) {
      return {outlook, cost, rank: -Infinity};
    }
    const rank =
      cost +
      outlook.firstEventMs(partMs) * CREDIT_PER_MS +
      JITTER_CREDIT * this.draw();
    return {outlook, cost, rank};
  }

  /** The engine of a plan that decodes the answer with least harm. */
  private firstOf({engines}: Plan, tokens: number): EngineOutlook {
    const roomy = engines.filter(outlook => outlook.fits(tokens));
    const pool = roomy.length > 0 ? roomy : engines;
    let best = pool[0]!;
    let bestHarm = Infinity;
    for (const outlook of pool) {
      const harm =
        outlook.contextHarm(tokens) + outlook.sequences * ENGINE_COST;
      if (harm >= bestHarm) continue;
      best = outlook;
      bestHarm = harm;
    }
    return best;
  }

  private decide(
    {facts, route}: PlacementRequest,
    spec: EngineSpec,
    plan: Plan,
    first: Backend,
    memory: readonly MemoryShare[],
  ): PlacementDecision {
    const {partMs} = plan;
    const tokenMs = stepMs(spec, 1, facts.promptTokens);
    const whole = facts.promptTokens + facts.expectedOutputTokens;
    const tokensOf = (backend: Backend): number =>
      memory.find(share => share.backend === backend)?.tokens ??
      (backend === first ? whole : 0);
    const own: WorkItem = {
      prefillMs: partMs,
      tokens: tokensOf(first),
      decodeMs: facts.expectedOutputTokens * tokenMs,
      pauseGoalMs: route.pauseGoalMs ?? 0,
      goalMs: route.latencyGoalMs,
      stake: stakeOf(facts),
    };
    const helpers = plan.engines
      .map(({backend}) => backend)
      .filter(backend => backend !== first);
    const part = {...own, decodeMs: 0, pauseGoalMs: 0, goalMs: 0, stake: 0};
    return {
      backend: first,
      helpers,
      memory,
      figures: {partMs, firstEventMs: plan.firstEventMs, loss: plan.loss},
      work: [
        {backend: first, item: own},
        ...helpers.map(backend => ({
          backend,
          item: {...part, tokens: tokensOf(backend)},
        })),
      ],
    };
  }
}
