import type {ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {VmuxError} from '@vanillamux/shared';
import type {GenerationReport, TokenSink} from './generation.js';

const MS_PER_SECOND = 1_000;

/** Options of a `ChatAnswer`. */
export interface ChatAnswerOptions {
  readonly res: ServerResponse;
  readonly requestId: string;
  readonly model: string;
  readonly streams: boolean;
  readonly promptTokens: number;
  readonly report: GenerationReport;
}

/** Writes a chat completion, as server-sent events or whole. */
export class ChatAnswer implements TokenSink {
  private readonly parts: string[] = [];

  constructor(private readonly options: ChatAnswerOptions) {}

  async write(text: string): Promise<void> {
    const {streams, res} = this.options;
    if (!streams) {
      this.parts.push(text);
      return;
    }
    this.startStream();
    const drained = res.write(
      `data: ${JSON.stringify(this.compose({delta: {content: text}}))}\n\n`,
    );
    if (drained || res.destroyed) return;
    await Promise.race([once(res, 'drain'), once(res, 'close')]);
  }

  /** Ends a complete answer. */
  finish(): void {
    const {streams, res, promptTokens, report} = this.options;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: report.answerTokens,
      total_tokens: promptTokens + report.answerTokens,
      cached_tokens: report.cachedTokens,
    };
    if (streams) {
      this.startStream();
      const last = this.compose({delta: {}, finish_reason: 'stop'}, usage);
      res.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
      return;
    }
    const message = {role: 'assistant', content: this.parts.join('')};
    res.writeHead(200, {
      'content-type': 'application/json',
      ...this.headers(),
    });
    res.end(
      JSON.stringify(this.compose({message, finish_reason: 'stop'}, usage)),
    );
  }

  /** Ends an answer whose stream had begun when it failed. */
  abort(error: VmuxError): void {
    const {res, requestId} = this.options;
    const body = {error: {...error.toBody(), requestId}};
    res.end(`data: ${JSON.stringify(body)}\n\n`);
  }

  private startStream(): void {
    const {res} = this.options;
    if (res.headersSent) return;
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      ...this.headers(),
    });
  }

  private headers(): Record<string, string> {
    const {requestId, report} = this.options;
    return {'x-request-id': requestId, 'x-vmux-backend': report.backend};
  }

  private compose(choice: object, usage?: object): object {
    const {requestId, model, streams} = this.options;
    return {
      id: requestId,
      object: streams ? 'chat.completion.chunk' : 'chat.completion',
      created: Math.floor(Date.now() / MS_PER_SECOND),
      model,
      choices: [{index: 0, ...choice}],
      usage,
    };
  }
}
