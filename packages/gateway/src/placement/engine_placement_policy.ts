import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import type {WorkItem} from '../fleet/work_item.js';
import {missProbability} from './miss_probability.js';
import {lossIfLate} from './loss_if_late.js';
import {EngineCostModel} from './engine_cost_model.js';
import {prefillMs} from './prefill_ms.js';
import {stepMs} from './step_ms.js';
import {PlacementPolicy} from './placement_policy.js';
import type {MemoryShare} from './memory_share.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Numbers of engines that are weighed; bound of the engines' protocol is 17. */
const ENGINE_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];
/** Prompt processing below which splitting a prompt is not weighed. */
const MIN_SPLIT_PREFILL_MS = 40;
/** Credit that one more engine must bring. */
const ENGINE_COST = 0.002;
/**
 * Credit of a millisecond until the first event. It also keeps prompts that are
 * late in any case from blocking one engine for seconds.
 */
const LATENCY_COST_PER_MS = 0.004;
/** Credit that bytes to another failure domain cost. */
const CROSS_DOMAIN_COST = 0.006;
/** Credit of a request to an engine that fails all of them. */
const FAILURE_COST = 2;
/**
 * Credit that work costs on an engine without streams. Those are kept for long
 * prompts, which hold up every stream beside them; short work gathers elsewhere.
 */
const NO_STREAMS_COST = 0.2;
/** Keeps hosts with the same view from choosing alike. */
const MAX_JITTER_COST = 0.004;
/** Share of an engine's memory that one reservation may take. */
const MAX_RESERVED_FRACTION = 0.85;

interface RatedEngine {
  readonly costModel: EngineCostModel;
  /** Credit that a part of the prompt is expected to cost here. */
  readonly cost: number;
  /** Orders the engines; between equal costs, earlier ones go first. */
  readonly rank: number;
}

interface PrefillPlan {
  readonly engines: readonly EngineCostModel[];
  readonly prefillShareMs: number;
  readonly firstEventMs: number;
  readonly predictedLoss: number;
}

/**
 * Places prompts on model engines by the credit that is expected to be lost:
 * by the request itself, if its first event comes late, and by the streams and
 * waiting requests of the engines that process it. Long prompts are split over
 * as many engines as lose least.
 */
export class EnginePlacementPolicy extends PlacementPolicy {
  constructor(
    private readonly failureDomain: string,
    private readonly random: () => number = Math.random,
  ) {
    super();
  }

  place(request: PlacementRequest): PlacementDecision | undefined {
    const {service, metadata: metadata, candidates, nowMs} = request;
    const spec = service.engine;
    if (!spec || candidates.length === 0) return undefined;
    const costModels = candidates.map(
      backend => new EngineCostModel(backend, spec, nowMs),
    );
    const contextTokens = metadata.promptTokens + metadata.maxOutputTokens;
    const shares = this.memoryShares(costModels, contextTokens, spec);
    if (!shares) return undefined;
    const plan = this.findBestPlan(request, spec, costModels, shares);
    const decodeBackend =
      shares[0]?.backend ??
      this.chooseDecodeEngine(plan, contextTokens).backend;
    return this.createDecision(request, spec, plan, decodeBackend, shares);
  }

  /**
   * The engines that have to hold a context that no engine can hold alone, the
   * answering one first; none where one engine is enough. `undefined` when all
   * of them together are too small.
   */
  private memoryShares(
    costModels: readonly EngineCostModel[],
    contextTokens: number,
    spec: EngineSpec,
  ): MemoryShare[] | undefined {
    if (contextTokens <= spec.memoryTokens) return [];
    const count = Math.ceil(
      contextTokens / (MAX_RESERVED_FRACTION * spec.memoryTokens),
    );
    if (count > costModels.length) return undefined;
    const shareTokens = Math.ceil(contextTokens / count);
    return costModels
      .slice()
      .sort((a, b) => a.contextTokens - b.contextTokens)
      .slice(0, count)
      .map(({backend}) => ({backend, tokens: shareTokens}));
  }

  private findBestPlan(
    request: PlacementRequest,
    spec: EngineSpec,
    costModels: readonly EngineCostModel[],
    shares: readonly MemoryShare[],
  ): PrefillPlan {
    const totalPrefillMs = prefillMs(spec, request.metadata.promptTokens);
    const reserved = shares.map(({backend}) => backend);
    let best: PrefillPlan | undefined;
    // The engines that hold the context are enough for a plan of their own.
    const counts = new Set([...ENGINE_COUNTS, Math.max(1, reserved.length)]);
    for (const count of counts) {
      if (count > costModels.length || count < reserved.length) continue;
      if (count > 1 && totalPrefillMs < MIN_SPLIT_PREFILL_MS) continue;
      const plan = this.createPlan(
        request,
        costModels,
        reserved,
        totalPrefillMs,
        count,
      );
      if (!best || plan.predictedLoss < best.predictedLoss) best = plan;
    }
    return best!;
  }

  private createPlan(
    request: PlacementRequest,
    costModels: readonly EngineCostModel[],
    reserved: readonly Backend[],
    totalPrefillMs: number,
    count: number,
  ): PrefillPlan {
    const prefillShareMs = totalPrefillMs / count;
    const ratedEngines = costModels
      .map(costModel =>
        this.rateEngine(request, costModel, reserved, prefillShareMs),
      )
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count);
    const engines = ratedEngines.map(({costModel: costModel}) => costModel);
    const firstEventMs = Math.max(
      ...engines.map(costModel =>
        costModel.predictedFirstEventMs(prefillShareMs),
      ),
    );
    const waitedMs = request.waitedMs;
    const requestLoss =
      lossIfLate(request.metadata) *
      missProbability(firstEventMs + waitedMs, request.route.latencyGoalMs);
    const predictedLoss =
      requestLoss +
      firstEventMs * LATENCY_COST_PER_MS +
      ratedEngines.reduce((sum, {cost}) => sum + cost, 0);
    return {
      engines,
      prefillShareMs: prefillShareMs,
      firstEventMs: firstEventMs,
      predictedLoss: predictedLoss,
    };
  }

  /** Credit that a part of the prompt costs on one engine. */
  private rateEngine(
    {nowMs}: PlacementRequest,
    costModel: EngineCostModel,
    reserved: readonly Backend[],
    prefillShareMs: number,
  ): RatedEngine {
    const {presence, failures} = costModel.backend;
    const isCrossDomain = presence.failureDomain !== this.failureDomain;
    const cost =
      costModel.predictedLoss(prefillShareMs) +
      ENGINE_COST +
      (isCrossDomain ? CROSS_DOMAIN_COST : 0) +
      (costModel.hasNoStreams ? NO_STREAMS_COST : 0) +
      FAILURE_COST * failures.failureRate(nowMs);
    // Engines that hold the context are part of every plan.
    if (reserved.includes(costModel.backend)) {
      return {costModel: costModel, cost, rank: -Infinity};
    }
    const rank =
      cost +
      costModel.predictedFirstEventMs(prefillShareMs) * LATENCY_COST_PER_MS +
      MAX_JITTER_COST * this.random();
    return {costModel: costModel, cost, rank};
  }

  /** The engine of a plan that decodes the answer with least harm. */
  private chooseDecodeEngine(
    {engines}: PrefillPlan,
    contextTokens: number,
  ): EngineCostModel {
    const withCapacity = engines.filter(costModel =>
      costModel.hasCapacityFor(contextTokens),
    );
    const eligible = withCapacity.length > 0 ? withCapacity : engines;
    let best = eligible[0]!;
    let lowestLoss = Infinity;
    for (const costModel of eligible) {
      const loss =
        costModel.predictedDecodeLoss(contextTokens) +
        costModel.sequences * ENGINE_COST;
      if (loss >= lowestLoss) continue;
      best = costModel;
      lowestLoss = loss;
    }
    return best;
  }

  private createDecision(
    {metadata: metadata, route}: PlacementRequest,
    spec: EngineSpec,
    plan: PrefillPlan,
    decodeBackend: Backend,
    memory: readonly MemoryShare[],
  ): PlacementDecision {
    const {prefillShareMs: prefillShareMs} = plan;
    const decodeMsPerToken = stepMs(spec, 1, metadata.promptTokens);
    const contextTokens = metadata.promptTokens + metadata.expectedOutputTokens;
    const contextTokensOn = (backend: Backend): number =>
      memory.find(share => share.backend === backend)?.tokens ??
      (backend === decodeBackend ? contextTokens : 0);
    const decodeWork: WorkItem = {
      prefillMs: prefillShareMs,
      contextTokens: contextTokensOn(decodeBackend),
      decodeMs: metadata.expectedOutputTokens * decodeMsPerToken,
      pauseGoalMs: route.pauseGoalMs ?? 0,
      firstEventGoalMs: route.latencyGoalMs,
      lossIfLate: lossIfLate(metadata),
    };
    const helpers = plan.engines
      .map(({backend}) => backend)
      .filter(backend => backend !== decodeBackend);
    const helperWork = {
      ...decodeWork,
      decodeMs: 0,
      pauseGoalMs: 0,
      firstEventGoalMs: 0,
      lossIfLate: 0,
    };
    return {
      backend: decodeBackend,
      helpers,
      memory,
      prediction: {
        prefillShareMs: prefillShareMs,
        firstEventMs: plan.firstEventMs,
        predictedLoss: plan.predictedLoss,
      },
      work: [
        {backend: decodeBackend, item: decodeWork},
        ...helpers.map(backend => ({
          backend,
          item: {...helperWork, contextTokens: contextTokensOn(backend)},
        })),
      ],
    };
  }
}
