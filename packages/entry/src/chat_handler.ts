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
import {ChatAnswer} from './chat_answer.js';
import {chatRequestSchema} from './chat_request_schema.js';
import type {DeclarationStore} from './declaration_store.js';
import type {GenerationJob, GenerationReport} from './generation.js';
import type {GangRunner} from './gang_runner.js';
import type {GenerationRunner} from './generation_runner.js';
import {parseJsonBody} from './parse_json_body.js';
import type {RequestContext} from './request_context.js';
import type {RequestManager, RequestRecordDetails} from './request_manager.js';
import {sendError} from './send_error.js';

type ChatRequest = z.infer<typeof chatRequestSchema>;

/** A wait for admission longer than this may have changed the best choice. */
const DECISION_MAX_AGE_MS = 5;

/** What a `ChatHandler` works with. */
export interface ChatHandlerOptions {
  readonly declarations: DeclarationStore;
  readonly desk: RequestManager;
  readonly runner: GenerationRunner;
  readonly gangs: GangRunner;
  readonly hasher: BlockHasher;
  readonly maxBodyBytes: number;
}

/** Serves `POST /v1/chat/completions`. */
export class ChatHandler {
  constructor(private readonly options: ChatHandlerOptions) {}

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {declarations, desk, maxBodyBytes} = this.options;
    const index = declarations.current;
    const workspace = authenticate(req, index);
    if (!workspace.ok) return sendError(res, workspace.error);
    const parsed = await parseJsonBody(req, chatRequestSchema, maxBodyBytes);
    if (!parsed.ok) return sendError(res, parsed.error);
    const chat = parsed.value;
    const job = this.createJob(chat);
    const rule = index.findRule(job.model, job.promptTokens);
    if (!rule) {
      const message = `no routing rule serves model "${job.model}" at ${job.promptTokens} tokens`;
      return sendError(res, new VmuxError(ErrorCodes.UnknownModel, {message}));
    }
    const workClass = index.findClass(chat.class ?? rule.class);
    if (!workClass) {
      const message = `class "${chat.class}" is not declared`;
      const options = {message, field: 'class'};
      return sendError(res, new VmuxError(ErrorCodes.UnknownClass, options));
    }
    const ctx = desk.createContext({
      res,
      workspace: workspace.value,
      workClass,
      version: index.version,
      rule: `${rule.model}<=${rule.maxPromptTokens ?? 'any'}`,
    });
    await this.serve(ctx, chat, job, res);
  }

  private createJob(chat: ChatRequest): GenerationJob {
    const prompt = chat.messages
      .map(({role, content}) => `${role}: ${content}`)
      .join('\n');
    return {
      model: chat.model,
      prompt,
      promptTokens: estimateTokens(prompt),
      blocks: this.options.hasher.hash(prompt),
      maxTokens: chat.max_tokens,
    };
  }

  private async serve(
    ctx: RequestContext,
    chat: ChatRequest,
    job: GenerationJob,
    res: ServerResponse,
  ): Promise<void> {
    const {desk} = this.options;
    const {promptTokens} = job;
    const decision = this.decideInTime(ctx, job);
    const facts: RequestRecordDetails = {
      target: job.model,
      promptTokens,
      candidates: decision.ok ? decision.value.candidates : undefined,
    };
    const needsGang =
      !decision.ok && decision.error.code === ErrorCodes.PromptTooLong;
    const runsOnGang = needsGang && this.options.gangs.canHold(job);
    if (!decision.ok && !runsOnGang) {
      desk.refuse(ctx, decision.error, facts);
      return sendError(res, decision.error, ctx.requestId);
    }
    const cost = promptTokens + job.maxTokens;
    const askedMs = monotonicMs();
    const permit = await desk.admit(ctx, cost, facts);
    if (!permit.ok) return sendError(res, permit.error, ctx.requestId);
    const waitedMs = monotonicMs() - askedMs;
    const used =
      decision.ok && waitedMs > DECISION_MAX_AGE_MS
        ? this.options.runner.decide(ctx, job)
        : decision;
    const report: GenerationReport = {
      backend: used.ok ? used.value.backend.id : '',
      attempts: 0,
      answerTokens: 0,
      cachedTokens: 0,
    };
    const answer = new ChatAnswer({
      res,
      requestId: ctx.requestId,
      model: job.model,
      streams: chat.stream,
      promptTokens,
      report,
    });
    const result = runsOnGang
      ? await this.options.gangs.run(ctx, job, answer, report)
      : await this.runDecided(ctx, job, used, answer, report);
    permit.value.release();
    const error = result.ok ? undefined : result.error;
    // The record shows the figures of the decision that was carried out.
    const candidates = used.ok ? used.value.candidates : undefined;
    desk.finish(ctx, {...facts, candidates}, {...report, error});
    if (!error) answer.finish();
    else if (res.headersSent) answer.abort(error);
    else sendError(res, error, ctx.requestId);
  }

  private async runDecided(
    ctx: RequestContext,
    job: GenerationJob,
    decision: Result<RoutingDecision>,
    answer: ChatAnswer,
    report: GenerationReport,
  ): Promise<Result<void>> {
    if (!decision.ok) return decision;
    return this.options.runner.run(ctx, job, decision.value, answer, report);
  }

  /** Refuses what cannot deliver its first token before the deadline. */
  private decideInTime(
    ctx: RequestContext,
    job: GenerationJob,
  ): Result<RoutingDecision> {
    const decision = this.options.runner.decide(ctx, job);
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
