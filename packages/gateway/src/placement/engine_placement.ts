import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import {passMs, prefillMs} from './engine_time.js';
import {Placement} from './placement.js';
import type {PlacedWork, PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/** Engines that may help one request; bound of the engines' protocol. */
const MAX_HELPERS = 16;
/**
 * Prompt processing that one engine is given at a time. With the decoding steps
 * of a pass it stays below the shortest pause between events that is aimed at.
 */
const PART_TARGET_MS = 120;
/** Cost of an engine in another failure domain, where bytes are priced. */
const REMOTE_PENALTY_MS = 4;
/** Cost of an engine that fails every request. */
const FAILURE_PENALTY_MS = 2_000;
/** Keeps hosts with the same view from choosing alike. */
const JITTER_MS = 8;

interface Rated {
  readonly backend: Backend;
  readonly costMs: number;
}

/**
 * Places prompts on model engines by the prompt processing that is ahead of
 * them. A prompt that would hold up the streams of one engine for too long is
 * split over several.
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
    if (!spec) return undefined;
    const tokens = facts.promptTokens + facts.answerTokens;
    if (tokens > spec.memoryTokens) return undefined;
    const rated = candidates
      .map(backend => ({backend, costMs: this.cost(backend, spec, nowMs)}))
      .sort((a, b) => a.costMs - b.costMs);
    const first = chooseFirst(rated, tokens, spec);
    if (!first) return undefined;
    const wholeMs = prefillMs(spec, facts.promptTokens);
    const parts = Math.min(
      Math.ceil(wholeMs / PART_TARGET_MS),
      MAX_HELPERS + 1,
      rated.length,
    );
    const helpers = rated
      .filter(({backend}) => backend !== first)
      .slice(0, Math.max(0, parts - 1))
      .map(({backend}) => backend);
    const partMs = wholeMs / (helpers.length + 1);
    return {
      backend: first,
      helpers,
      work: divide(first, helpers, partMs, tokens),
    };
  }

  private cost(backend: Backend, spec: EngineSpec, nowMs: number): number {
    const isRemote = backend.presence.failureDomain !== this.failureDomain;
    const {work, failures} = backend;
    const load = Math.max(work.decoding, backend.estimateLoad(nowMs));
    const crowdMs = passMs(spec, load, work.tokens) - passMs(spec, 0, 0);
    const fullMs = load >= spec.batchSize ? passMs(spec, load, 0) : 0;
    return (
      work.backlogMs(nowMs) +
      crowdMs +
      fullMs +
      (isRemote ? REMOTE_PENALTY_MS : 0) +
      FAILURE_PENALTY_MS * failures.failureRate(nowMs) +
      JITTER_MS * this.draw()
    );
  }
}

/** The cheapest engine whose memory takes the request, or the cheapest. */
function chooseFirst(
  rated: readonly Rated[],
  tokens: number,
  spec: EngineSpec,
): Backend | undefined {
  const roomy = rated.find(
    ({backend}) => backend.work.tokens + tokens <= spec.memoryTokens,
  );
  return (roomy ?? rated[0])?.backend;
}

function divide(
  first: Backend,
  helpers: readonly Backend[],
  partMs: number,
  tokens: number,
): PlacedWork[] {
  const own = {prefillMs: partMs, tokens, decodes: true};
  const part = {prefillMs: partMs, tokens: 0, decodes: false};
  return [
    {backend: first, item: own},
    ...helpers.map(backend => ({backend, item: part})),
  ];
}
