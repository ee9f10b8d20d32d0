import type {IncomingMessage, ServerResponse} from 'node:http';
import {estimateTokens} from '@vanillamux/protocol';
import type {RoutingDecision} from '@vanillamux/routing';
import {
  ErrorCodes,
  fail,
  monotonicMs,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {z} from 'zod';
import {authenticate} from './authenticate.js';
import type {BlockHasher} from './block_hasher.js';
import {chatRequestSchema} from './chat_request_schema.js';
import {ChatResponseWriter} from './chat_response_writer.js';
import type {DeclarationStore} from './declaration_store.js';
import type {GangRunner} from './gang_runner.js';
import type {GenerationJob, GenerationReport} from './generation.js';
import type {GenerationRunner} from './generation_runner.js';
import {parseJsonBody} from './parse_json_body.js';
import type {RequestContext} from './request_context.js';
import type {RequestManager, RequestRecordDetails} from './request_manager.js';
import {sendError} from './send_error.js';

type ChatRequest = z.infer<typeof chatRequestSchema>;

/**
 * Longest queueing delay after which the decision is still used; a longer one
 * may have changed which backend server is best.
 */
const DECISION_MAX_AGE_MS = 5;

/** Dependencies of a `ChatHandler`. */
export interface ChatHandlerOptions {
  readonly declarations: DeclarationStore;
  readonly requests: RequestManager;
  readonly generationRunner: GenerationRunner;
  readonly gangRunner: GangRunner;
  readonly blockHasher: BlockHasher;
  readonly maxBodyBytes: number;
}

/** Serves `POST /v1/chat/completions`. */
export class ChatHandler {
  constructor(private readonly options: ChatHandlerOptions) {}

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {declarations, requests, maxBodyBytes} = this.options;
    const index = declarations.current;
    const workspace = authenticate(req, index);
    if (!workspace.ok) return sendError(res, workspace.error);
    const parsed = await parseJsonBody(req, chatRequestSchema, maxBodyBytes);
    if (!parsed.ok) return sendError(res, parsed.error);
    const chatRequest = parsed.value;
    const job = this.createJob(chatRequest);
    const rule = index.findRule(job.model, job.promptTokens);
    if (!rule) {
      const message = `no routing rule serves model "${job.model}" at ${job.promptTokens} tokens`;
      return sendError(res, new VmuxError(ErrorCodes.UnknownModel, {message}));
    }
    const workClass = index.findClass(chatRequest.class ?? rule.class);
    if (!workClass) {
      const message = `class "${chatRequest.class}" is not declared`;
      const options = {message, field: 'class'};
      return sendError(res, new VmuxError(ErrorCodes.UnknownClass, options));
    }
    const ctx = requests.createContext({
      res,
      workspace: workspace.value,
      workClass,
      version: index.version,
      rule: `${rule.model}<=${rule.maxPromptTokens ?? 'any'}`,
    });
    await this.serve(ctx, chatRequest, job, res);
  }

  private createJob(chatRequest: ChatRequest): GenerationJob {
    const prompt = chatRequest.messages
      .map(({role, content}) => `${role}: ${content}`)
      .join('\n');
    return {
      model: chatRequest.model,
      prompt,
      promptTokens: estimateTokens(prompt),
      blockHashes: this.options.blockHasher.hashBlocks(prompt),
      maxTokens: chatRequest.max_tokens,
    };
  }

  private async serve(
    ctx: RequestContext,
    chatRequest: ChatRequest,
    job: GenerationJob,
    res: ServerResponse,
  ): Promise<void> {
    const {requests} = this.options;
    const {promptTokens} = job;
    const decision = this.chooseBackendInTime(ctx, job);
    const recordDetails: RequestRecordDetails = {
      target: job.model,
      promptTokens,
      candidates: decision.ok ? decision.value.candidates : undefined,
    };
    const needsGang =
      !decision.ok && decision.error.code === ErrorCodes.PromptTooLong;
    const runsOnGang = needsGang && this.options.gangRunner.canFit(job);
    if (!decision.ok && !runsOnGang) {
      requests.refuse(ctx, decision.error, recordDetails);
      return sendError(res, decision.error, ctx.requestId);
    }
    const costTokens = promptTokens + job.maxTokens;
    const admissionStartMs = monotonicMs();
    const permit = await requests.admit(ctx, costTokens, recordDetails);
    if (!permit.ok) return sendError(res, permit.error, ctx.requestId);
    const queueingDelayMs = monotonicMs() - admissionStartMs;
    const currentDecision =
      decision.ok && queueingDelayMs > DECISION_MAX_AGE_MS
        ? this.options.generationRunner.chooseBackend(ctx, job)
        : decision;
    const report: GenerationReport = {
      backend: currentDecision.ok ? currentDecision.value.backend.id : '',
      attempts: 0,
      answerTokens: 0,
      cachedTokens: 0,
    };
    const responseWriter = new ChatResponseWriter({
      res,
      requestId: ctx.requestId,
      model: job.model,
      isStreaming: chatRequest.stream,
      promptTokens,
      report,
    });
    const result = await requests.run(ctx, permit.value, () =>
      runsOnGang
        ? this.options.gangRunner.run(ctx, job, responseWriter, report)
        : this.runOnBackend(ctx, job, currentDecision, responseWriter, report),
    );
    const error = result.ok ? undefined : result.error;
    // The record holds the candidates of the decision that was used.
    const candidates = currentDecision.ok
      ? currentDecision.value.candidates
      : undefined;
    requests.finish(ctx, {...recordDetails, candidates}, {...report, error});
    if (!error) responseWriter.finish();
    else if (res.headersSent) responseWriter.endWithError(error);
    else sendError(res, error, ctx.requestId);
  }

  private async runOnBackend(
    ctx: RequestContext,
    job: GenerationJob,
    decision: Result<RoutingDecision>,
    responseWriter: ChatResponseWriter,
    report: GenerationReport,
  ): Promise<Result<void>> {
    if (!decision.ok) return decision;
    return this.options.generationRunner.run(
      ctx,
      job,
      decision.value,
      responseWriter,
      report,
    );
  }

  /** Chooses a backend server, or refuses what can't meet the deadline. */
  private chooseBackendInTime(
    ctx: RequestContext,
    job: GenerationJob,
  ): Result<RoutingDecision> {
    const decision = this.options.generationRunner.chooseBackend(ctx, job);
    if (!decision.ok) return decision;
    const {estimateMs, backend} = decision.value;
    const decodeMs = job.maxTokens * backend.decodeStepMs;
    const neededMs = estimateMs + decodeMs;
    if (neededMs <= ctx.workClass.deadlineMs) return succeed(decision.value);
    const message = `needs about ${Math.round(neededMs)} ms; class ${ctx.workClass.name} allows ${ctx.workClass.deadlineMs} ms`;
    const retryAfterMs = neededMs - ctx.workClass.deadlineMs;
    return fail(
      new VmuxError(ErrorCodes.DeadlineUnreachable, {message, retryAfterMs}),
    );
  }
}
