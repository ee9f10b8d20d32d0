import type {ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {VmuxError} from '@vanillamux/shared';
import type {GenerationReport, TokenSink} from './generation.js';

const MS_PER_SECOND = 1_000;

/** Options of a `ChatAnswer`. */
export interface ChatResponseWriterOptions {
  readonly res: ServerResponse;
  readonly requestId: string;
  readonly model: string;
  readonly isStreaming: boolean;
  readonly promptTokens: number;
  readonly report: GenerationReport;
}

/** Writes a chat completion, as server-sent events or whole. */
export class ChatResponseWriter implements TokenSink {
  private readonly bufferedTexts: string[] = [];

  constructor(private readonly options: ChatResponseWriterOptions) {}

  async write(text: string): Promise<void> {
    const {isStreaming: isStreaming, res} = this.options;
    if (!isStreaming) {
      this.bufferedTexts.push(text);
      return;
    }
    this.startStream();
    const hasCapacity = res.write(
      `data: ${JSON.stringify(this.createCompletion({delta: {content: text}}))}\n\n`,
    );
    if (hasCapacity || res.destroyed) return;
    await Promise.race([once(res, 'drain'), once(res, 'close')]);
  }

  /** Ends a complete answer. */
  finish(): void {
    const {isStreaming: isStreaming, res, promptTokens, report} = this.options;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: report.answerTokens,
      total_tokens: promptTokens + report.answerTokens,
      cached_tokens: report.cachedTokens,
    };
    if (isStreaming) {
      this.startStream();
      const lastChunk = this.createCompletion(
        {delta: {}, finish_reason: 'stop'},
        usage,
      );
      res.end(`data: ${JSON.stringify(lastChunk)}\n\ndata: [DONE]\n\n`);
      return;
    }
    const message = {role: 'assistant', content: this.bufferedTexts.join('')};
    res.writeHead(200, {
      'content-type': 'application/json',
      ...this.responseHeaders(),
    });
    res.end(
      JSON.stringify(
        this.createCompletion({message, finish_reason: 'stop'}, usage),
      ),
    );
  }

  /** Ends an answer whose stream had begun when it failed. */
  endWithError(error: VmuxError): void {
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
      ...this.responseHeaders(),
    });
  }

  private responseHeaders(): Record<string, string> {
    const {requestId, report} = this.options;
    return {'x-request-id': requestId, 'x-vmux-backend': report.backend};
  }

  private createCompletion(choice: object, usage?: object): object {
    const {requestId, model, isStreaming: isStreaming} = this.options;
    return {
      id: requestId,
      object: isStreaming ? 'chat.completion.chunk' : 'chat.completion',
      created: Math.floor(Date.now() / MS_PER_SECOND),
      model,
      choices: [{index: 0, ...choice}],
      usage,
    };
  }
}
