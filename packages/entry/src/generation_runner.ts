import type {RetryBudget} from '@vanillamux/limits';
import type {RoutingDecision, RoutingPolicy} from '@vanillamux/routing';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {BackendDirectory} from './backend_directory.js';
import type {GenerationAttemptServices} from './generation_attempt.js';
import type {GenerationJob, GenerationReport, TokenSink} from './generation.js';
import {GenerationRun} from './generation_run.js';
import type {RequestContext} from './request_context.js';

const TOKENS_PER_BLOCK = 512;
const NO_BACKEND_RETRY_AFTER_MS = 1_000;

/** Dependencies of a `GenerationRunner`. */
export interface GenerationRunnerOptions extends GenerationAttemptServices {
  readonly directory: BackendDirectory;
  readonly policy: RoutingPolicy;
  readonly retryBudget: RetryBudget;
}

/** Routes generation requests to engines and retries on other engines. */
export class GenerationRunner {
  constructor(private readonly options: GenerationRunnerOptions) {}

  /** Chooses the backend server for the first attempt or a retry. */
  chooseBackend(
    ctx: RequestContext,
    job: GenerationJob,
    excluded: ReadonlySet<string> = new Set(),
  ): Result<RoutingDecision> {
    const {directory, policy, prefixIndex} = this.options;
    const tokens = job.promptTokens + job.maxTokens;
    const candidates = directory.findCandidates({
      model: job.model,
      memoryTokens: tokens,
      excludedIds: excluded,
    });
    if (candidates.preferred.length === 0)
      return fail(this.createNoBackendError(job, tokens));
    const matchedBlocks = prefixIndex.matchPrefix(job.blockHashes);
    return succeed(
      policy.choose(
        {
          requestId: ctx.requestId,
          promptTokens: job.promptTokens,
          maxTokens: job.maxTokens,
          priority: ctx.workClass.priority,
          cachedTokensOn: id => (matchedBlocks.get(id) ?? 0) * TOKENS_PER_BLOCK,
        },
        candidates,
      ),
    );
  }

  /** Runs a request until it completes or fails, and updates the report. */
  run(
    ctx: RequestContext,
    job: GenerationJob,
    initialDecision: RoutingDecision,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    return new GenerationRun({
      services: this.options,
      ctx,
      job,
      sink,
      report,
      chooseBackend: excluded => this.chooseBackend(ctx, job, excluded),
    }).run(initialDecision);
  }

  private createNoBackendError(job: GenerationJob, tokens: number): VmuxError {
    const largest = this.options.directory.findMaxMemoryTokens(job.model);
    if (largest === 0 || largest >= tokens) {
      return new VmuxError(ErrorCodes.NoBackend, {
        message: `no backend server is available for ${job.model}`,
        retryAfterMs: NO_BACKEND_RETRY_AFTER_MS,
      });
    }
    const message = `prompt and answer need ${tokens} tokens; the fleet holds at most ${largest} for one request`;
    return new VmuxError(ErrorCodes.PromptTooLong, {message});
  }
}
