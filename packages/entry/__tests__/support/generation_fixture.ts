import {EventEmitter, once} from 'node:events';
import {RetryBudget} from '@vanillamux/limits';
import {
  InFlightTracker,
  PrefixIndex,
  type BackendView,
} from '@vanillamux/routing';
import {monotonicMs, succeed, Timeline, type Result} from '@vanillamux/shared';
import {BackendHealth} from '../../src/backend_health.js';
import type {
  BackendDirectory,
  BackendRequirements,
} from '../../src/backend_directory.js';
import {EngineCanceller} from '../../src/engine_canceller.js';
import {EngineClient} from '../../src/engine_client.js';
import {GangRunner, type GangRunnerOptions} from '../../src/gang_runner.js';
import type {
  GenerationJob,
  GenerationReport,
  TokenSink,
} from '../../src/generation.js';
import {
  GenerationRunner,
  type GenerationRunnerOptions,
} from '../../src/generation_runner.js';
import type {RequestContext} from '../../src/request_context.js';
import type {ReservationClient} from '../../src/reservation_client.js';
import {FakeEngine} from './fake_engine.js';
import type {FakeEngineBehaviour} from './fake_engine_behaviour.js';

const DEADLINE_MS = 20_000;
const WORKSPACE = 'tartu';
const MEMORY_TOKENS = 1_000;
const PROMPT_TOKENS = 2;
/** Needs the memory of two engines. */
const GANG_PROMPT_TOKENS = 1_500;

/** Options of a `GenerationFixture`. */
export interface GenerationFixtureOptions {
  /** Behaviour of each engine; the first one that is allowed is chosen. */
  readonly engines: readonly FakeEngineBehaviour[];
  readonly maxTokens?: number;
  /** Whether the retry budget of the workspace has a retry left. */
  readonly hasRetry?: boolean;
}

/** Outcome of one generation. */
export interface GenerationOutcome {
  readonly result: Result<void>;
  readonly text: string;
  readonly report: GenerationReport;
}

/** A `GenerationRunner` with engines of its own. */
export class GenerationFixture {
  /** `ID PATH` of each call to an engine, in the order of arrival. */
  readonly calls: string[] = [];
  private readonly callEmitter = new EventEmitter();
  private readonly engines: FakeEngine[];
  private readonly client = new EngineClient();
  private readonly abortController = new AbortController();

  constructor(private readonly options: GenerationFixtureOptions) {
    this.engines = options.engines.map(
      (behaviour, index) =>
        new FakeEngine({
          id: `engine-${index + 1}`,
          behaviour,
          onCall: call => this.recordCall(call),
        }),
    );
  }

  /** Runs one generation on one engine at a time. */
  run(): Promise<GenerationOutcome> {
    return this.generate(PROMPT_TOKENS, async (ctx, job, sink, report) => {
      const runner = new GenerationRunner(await this.createRunnerOptions());
      const decision = runner.chooseBackend(ctx, job);
      if (!decision.ok) return decision;
      return runner.run(ctx, job, decision.value, sink, report);
    });
  }

  /** Runs one generation on a gang of two engines. */
  runOnGang(): Promise<GenerationOutcome> {
    return this.generate(GANG_PROMPT_TOKENS, async (ctx, job, sink, report) =>
      new GangRunner(await this.createRunnerOptions()).run(
        ctx,
        job,
        sink,
        report,
      ),
    );
  }

  private async generate(
    promptTokens: number,
    start: (
      ctx: RequestContext,
      job: GenerationJob,
      sink: TokenSink,
      report: GenerationReport,
    ) => Promise<Result<void>>,
  ): Promise<GenerationOutcome> {
    const {maxTokens = 4} = this.options;
    const job: GenerationJob = {
      model: 'm',
      prompt: 'hello',
      promptTokens,
      blockHashes: [],
      maxTokens,
    };
    const report: GenerationReport = {
      backend: '',
      attempts: 0,
      answerTokens: 0,
      cachedTokens: 0,
    };
    const texts: string[] = [];
    const sink = {
      write: (text: string): Promise<void> => {
        texts.push(text);
        return Promise.resolve();
      },
    };
    const result = await start(createContext(), job, sink, report);
    return {result, text: texts.join(''), report};
  }

  /** Waits until an engine has received a call, `ID PATH`. */
  async waitForCall(call: string): Promise<void> {
    if (!this.calls.includes(call)) await once(this.callEmitter, call);
  }

  async close(): Promise<void> {
    this.abortController.abort();
    for (const engine of this.engines) engine.close();
    await this.client.close();
  }

  private recordCall(call: string): void {
    this.calls.push(call);
    this.callEmitter.emit(call);
  }

  private async createRunnerOptions(): Promise<
    GenerationRunnerOptions & GangRunnerOptions
  > {
    const ledger = new InFlightTracker();
    const views = await Promise.all(
      this.engines.map(async (engine): Promise<BackendView> => ({
        id: engine.id,
        address: await engine.start(),
        incarnation: 1,
        failureDomain: 'fd-a',
        isLocal: true,
        memoryTokens: MEMORY_TOKENS,
        prefillTokensPerSecond: 1_000,
        decodeStepMs: 1,
        chunkTokens: 100,
        prefillByPriority: [],
        runningStreams: 0,
        freeTokens: MEMORY_TOKENS,
        ownRequests: 0,
      })),
    );
    const directory: Pick<
      BackendDirectory,
      'findCandidates' | 'listAllCandidates' | 'findMaxMemoryTokens'
    > = {
      listAllCandidates: ({excludedIds}: BackendRequirements) =>
        views
          .filter(({id}) => !excludedIds.has(id))
          .map(view => ({
            ...view,
            freeTokens: MEMORY_TOKENS - ledger.heldTokensOn(view.id),
          })),
      findCandidates: ({excludedIds}: BackendRequirements) => ({
        preferred: views.filter(({id}) => !excludedIds.has(id)),
        sampleRemote: () => [],
      }),
      findMaxMemoryTokens: () => MEMORY_TOKENS,
    };
    return {
      directory: directory as BackendDirectory,
      policy: {
        name: 'first',
        choose: (_request, {preferred}) => ({
          backend: preferred[0]!,
          estimateMs: 0,
          cachedTokens: 0,
          candidates: [],
        }),
      },
      ledger,
      prefixIndex: new PrefixIndex(),
      health: new BackendHealth(),
      engineClient: this.client,
      canceller: new EngineCanceller(this.client, this.abortController.signal),
      reservationClient: {
        reserve: () => Promise.resolve(succeed({release: () => {}})),
      } as unknown as ReservationClient,
      retryBudget: this.createRetryBudget(),
      timeline: new Timeline({host: 'entry-1', failureDomain: 'fd-a'}),
    };
  }

  private createRetryBudget(): RetryBudget {
    const {hasRetry = true} = this.options;
    const budget = new RetryBudget();
    let isEmpty = hasRetry;
    while (!isEmpty) isEmpty = !budget.tryWithdraw(WORKSPACE);
    return budget;
  }
}

function createContext(): RequestContext {
  const startedMs = monotonicMs();
  return {
    requestId: 'r',
    workspace: {name: WORKSPACE} as RequestContext['workspace'],
    workClass: {
      name: 'rush',
      priority: 1,
      deadlineMs: DEADLINE_MS,
    } as RequestContext['workClass'],
    version: 1,
    rule: 'm',
    startedMs,
    deadlineMs: startedMs + DEADLINE_MS,
    signal: AbortSignal.timeout(DEADLINE_MS),
  };
}
