import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import type {WorkItem} from '../fleet/work_item.js';
import {iterationMs} from './iteration_ms.js';
import {missProbability} from './miss_probability.js';
import {lossIfLate} from './loss_if_late.js';
import {EngineCostModel} from './engine_cost_model.js';
import {prefillMs} from './prefill_ms.js';
import {stepMs} from './step_ms.js';
import {PlacementPolicy} from './placement_policy.js';
import type {MemoryShare} from './memory_share.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Engine counts that are compared, beside the highest that can be expressed. */
const ENGINE_COUNTS = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14];
/** Prefill time below which splitting a prompt is not considered. */
const MIN_SPLIT_PREFILL_MS = 40;
/**
 * Credit that one more engine must save. Also the cost of each sequence when an
 * engine is chosen for decoding.
 */
const ENGINE_COST = 0.002;
/**
 * Cost in credit of each millisecond until the first event. It also makes a
 * prompt that will be late in any case use several engines instead of blocking
 * one of them for seconds.
 */
const LATENCY_COST_PER_MS = 0.004;
/** Cost in credit of traffic to another failure domain. */
const CROSS_DOMAIN_COST = 0.006;
/** Cost in credit of a request to an engine that fails every request. */
const FAILURE_COST = 2;
/**
 * Cost in credit of work on an engine without streams. Such engines stay free
 * for long prompts, which delay every stream on the same engine; short prompts
 * are packed onto the other engines.
 */
const NO_STREAMS_COST = 0.2;
/** Maximum random cost; hosts with the same view then choose differently. */
const MAX_JITTER_COST = 0.004;
/** Iterations until the first event on an idle engine, at the most. */
const IDLE_ITERATIONS = 1.5;
/** Fraction of an engine's KV memory that one reservation may use. */
const MAX_RESERVED_FRACTION = 0.85;

interface RatedEngine {
  readonly costModel: EngineCostModel;
  /** Cost in credit of a prefill share on the engine. */
  readonly cost: number;
  /** Sort key; lower for a lower cost and an earlier first event. */
  readonly rank: number;
}

interface PrefillPlan {
  readonly engines: readonly EngineCostModel[];
  readonly prefillShareMs: number;
  readonly firstEventMs: number;
  readonly idleFirstEventMs: number;
  readonly predictedLoss: number;
}

/**
 * Places prompts on model engines so that the expected loss is lowest: the loss
 * of the request itself if its first event is late, and the loss of the streams
 * and waiting requests on the engines that process it. A long prompt is split
 * over the number of engines with the lowest expected loss.
 */
export class EnginePlacementPolicy extends PlacementPolicy {
  constructor(
    private readonly failureDomain: string,
    private readonly random: () => number = Math.random,
  ) {
    super();
  }

  place(request: PlacementRequest): PlacementDecision | undefined {
    const {service, metadata, candidates, limited, nowMs} = request;
    const {maxHelperEntries} = request;
    const spec = service.engine;
    if (!spec || candidates.length === 0) return undefined;
    const costModels = candidates.map(
      backend => new EngineCostModel(backend, spec, nowMs),
    );
    const contextTokens = metadata.promptTokens + metadata.maxOutputTokens;
    const shares = this.memoryShares(costModels, contextTokens, spec, limited);
    if (!shares || shares.length > maxHelperEntries) return undefined;
    const plan = this.findBestPlan(request, spec, costModels, shares);
    const decodeBackend =
      shares[0]?.backend ??
      this.chooseDecodeEngine(plan, contextTokens, limited).backend;
    return this.createDecision(request, spec, plan, decodeBackend, shares);
  }

  /**
   * Returns the memory shares of a context that exceeds the KV memory of one
   * engine, the share of the decode engine first; none where one engine is
   * enough. Returns `undefined` when all engines together are too small.
   */
  private memoryShares(
    costModels: readonly EngineCostModel[],
    contextTokens: number,
    spec: EngineSpec,
    limited?: ReadonlySet<Backend>,
  ): MemoryShare[] | undefined {
    if (contextTokens <= spec.memoryTokens) return [];
    const count = Math.ceil(
      contextTokens / (MAX_RESERVED_FRACTION * spec.memoryTokens),
    );
    if (count > costModels.length) return undefined;
    const shareTokens = Math.ceil(contextTokens / count);
    const isLimited = (backend: Backend): number =>
      Number(limited?.has(backend) ?? false);
    return costModels
      .slice()
      .sort((a, b) => a.contextTokens - b.contextTokens)
      .slice(0, count)
      .map(({backend}) => ({backend, tokens: shareTokens}))
      .sort((a, b) => isLimited(b.backend) - isLimited(a.backend));
  }

  private findBestPlan(
    request: PlacementRequest,
    spec: EngineSpec,
    costModels: readonly EngineCostModel[],
    shares: readonly MemoryShare[],
  ): PrefillPlan {
    const totalPrefillMs = prefillMs(spec, request.metadata.promptTokens);
    const reserved = shares.map(({backend}) => backend);
    const planFor = (count: number): PrefillPlan =>
      this.createPlan(request, costModels, reserved, totalPrefillMs, count);
    // The engines that reserve memory form a plan, however short the prompt is.
    const minCount = Math.max(1, reserved.length);
    const maxCount = maxEngines(request, reserved.length > 0);
    let best = planFor(minCount);
    if (totalPrefillMs < MIN_SPLIT_PREFILL_MS) return best;
    const counts = ENGINE_COUNTS.filter(count => count < maxCount);
    for (const count of [...counts, maxCount]) {
      if (count <= minCount || count > costModels.length) continue;
      const plan = planFor(count);
      if (plan.predictedLoss < best.predictedLoss) best = plan;
    }
    return best;
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
    const engines = ratedEngines.map(({costModel}) => costModel);
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
      prefillShareMs,
      firstEventMs,
      idleFirstEventMs: this.idleFirstEventMs(
        request,
        totalPrefillMs,
        reserved.length > 0,
      ),
      predictedLoss,
    };
  }

  /** Time to the first event if all candidates were idle and shared the prompt. */
  private idleFirstEventMs(
    request: PlacementRequest,
    totalPrefillMs: number,
    reservesMemory: boolean,
  ): number {
    const {service, metadata, candidates} = request;
    const spec = service.engine!;
    const engines =
      totalPrefillMs < MIN_SPLIT_PREFILL_MS
        ? 1
        : Math.min(maxEngines(request, reservesMemory), candidates.length);
    const iteration = iterationMs(spec, 1, metadata.promptTokens);
    return totalPrefillMs / engines + IDLE_ITERATIONS * iteration;
  }

  /** Rates one engine by the cost of a prefill share on it. */
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
    // Engines that reserve memory are part of every plan.
    if (reserved.includes(costModel.backend)) {
      return {costModel, cost, rank: -Infinity};
    }
    const rank =
      cost +
      costModel.predictedFirstEventMs(prefillShareMs) * LATENCY_COST_PER_MS +
      MAX_JITTER_COST * this.random();
    return {costModel, cost, rank};
  }

  /**
   * Chooses the engine of a plan that decodes with the lowest expected loss,
   * among those with capacity for the context, and of these among those with a
   * request limit, if there are any.
   */
  private chooseDecodeEngine(
    {engines}: PrefillPlan,
    contextTokens: number,
    limited?: ReadonlySet<Backend>,
  ): EngineCostModel {
    const withCapacity = engines.filter(costModel =>
      costModel.hasCapacityFor(contextTokens),
    );
    const capable = withCapacity.length > 0 ? withCapacity : engines;
    const withLimit = capable.filter(({backend}) => limited?.has(backend));
    const eligible = withLimit.length > 0 ? withLimit : capable;
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
    {metadata, route}: PlacementRequest,
    spec: EngineSpec,
    plan: PrefillPlan,
    decodeBackend: Backend,
    memory: readonly MemoryShare[],
  ): PlacementDecision {
    const {prefillShareMs} = plan;
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
        prefillShareMs,
        firstEventMs: plan.firstEventMs,
        idleFirstEventMs: plan.idleFirstEventMs,
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

/**
 * Engines that a plan may have. The responding one is an entry of the list of
 * helpers only if it reserves memory.
 */
function maxEngines(
  {maxHelperEntries}: PlacementRequest,
  reservesMemory: boolean,
): number {
  return reservesMemory ? maxHelperEntries : maxHelperEntries + 1;
}
