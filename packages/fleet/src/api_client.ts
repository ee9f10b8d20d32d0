import type {Address} from '@vanillamux/shared';
import {hasBody, monotonicMs} from '@vanillamux/shared';
import {Agent, request, type Dispatcher} from 'undici';

/** Parameters of a streaming chat request. */
export interface ChatRequest {
  readonly apiKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly signal?: AbortSignal;
}

/** Response to a request, with timings measured by the client. */
export interface CallOutcome {
  readonly status: number;
  readonly text: string;
  readonly requestId: string;
  readonly backendId: string;
  /** Milliseconds from sending the request to the first output token. */
  readonly timeToFirstTokenMs?: number;
  readonly durationMs: number;
  /** Number of stream events with content; 0 for other requests. */
  readonly outputTokens: number;
  readonly headers: Readonly<Record<string, unknown>>;
  /** Error code from the response body or from an error event in the stream. */
  readonly errorCode?: string;
}

interface StreamEvent {
  readonly error?: {readonly code: string};
  readonly choices?: ReadonlyArray<{
    readonly delta?: {readonly content?: string};
  }>;
}

const DATA_FIELD_PREFIX = 'data: ';
const LAST_EVENT = '[DONE]';

/** HTTP client of one server, for tests, the quickstart and load generation. */
export class ApiClient {
  private readonly agent = new Agent({
    connections: 1_024,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(private readonly server: Address) {}

  /**
   * Sends a streaming chat request and reads the whole response. Throws if it
   * ends without its last event or an error event.
   */
  async chat(chatRequest: ChatRequest): Promise<CallOutcome> {
    const startedMs = monotonicMs();
    const response = await this.send(
      '/v1/chat/completions',
      'POST',
      {authorization: `Bearer ${chatRequest.apiKey}`},
      JSON.stringify({
        model: chatRequest.model,
        messages: [{role: 'user', content: chatRequest.prompt}],
        max_tokens: chatRequest.maxTokens,
        stream: true,
      }),
      chatRequest.signal,
    );
    if (response.statusCode !== 200)
      return readFullResponse(response, startedMs);
    let text = '';
    let outputTokens = 0;
    let timeToFirstTokenMs: number | undefined;
    let errorCode: string | undefined;
    let buffer = '';
    let isWhole = false;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      buffer += chunk.toString('utf8');
      const events = buffer.split('\n\n');
      buffer = events.pop() ?? '';
      for (const eventText of events) {
        if (!eventText.startsWith(DATA_FIELD_PREFIX)) continue;
        const data = eventText.slice(DATA_FIELD_PREFIX.length);
        if (data === LAST_EVENT) {
          isWhole = true;
          continue;
        }
        const event = JSON.parse(data) as StreamEvent;
        errorCode ??= event.error?.code;
        const content = event.choices?.[0]?.delta?.content;
        if (content === undefined) continue;
        timeToFirstTokenMs ??= monotonicMs() - startedMs;
        text += content;
        outputTokens++;
      }
    }
    if (!isWhole && errorCode === undefined)
      throw new Error('the stream ended without its last event');
    return {
      ...summarizeResponse(response, startedMs),
      text,
      outputTokens,
      timeToFirstTokenMs,
      errorCode,
    };
  }

  /**
   * Sends a request and reads the whole response. Throws if the end of the
   * connection delimits it, as a reset may look like that.
   */
  async call(
    path: string,
    method: Dispatcher.HttpMethod,
    headers: Record<string, string> = {},
    body?: string,
  ): Promise<CallOutcome> {
    const startedMs = monotonicMs();
    const response = await this.send(path, method, headers, body);
    if (!isFramed(method, response))
      throw new Error('nothing tells whether the response is whole');
    return readFullResponse(response, startedMs);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private send(
    path: string,
    method: Dispatcher.HttpMethod,
    headers: Record<string, string>,
    body?: string,
    signal?: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    const {host, port} = this.server;
    return request(`http://${host}:${port}${path}`, {
      method,
      headers: {'content-type': 'application/json', ...headers},
      body,
      signal,
      dispatcher: this.agent,
    });
  }
}

function isFramed(
  method: Dispatcher.HttpMethod,
  {statusCode, headers}: Dispatcher.ResponseData,
): boolean {
  return (
    !hasBody(method, statusCode) ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

async function readFullResponse(
  response: Dispatcher.ResponseData,
  startedMs: number,
): Promise<CallOutcome> {
  const text = await response.body.text();
  return {
    ...summarizeResponse(response, startedMs),
    text,
    outputTokens: 0,
    errorCode: readErrorCode(text),
  };
}

function summarizeResponse(
  {statusCode, headers}: Dispatcher.ResponseData,
  startedMs: number,
): Pick<
  CallOutcome,
  'status' | 'requestId' | 'backendId' | 'durationMs' | 'headers'
> {
  return {
    status: statusCode,
    requestId: String(headers['x-request-id'] ?? ''),
    backendId: String(headers['x-vmux-backend'] ?? ''),
    durationMs: monotonicMs() - startedMs,
    headers,
  };
}

function readErrorCode(text: string): string | undefined {
  try {
    return (JSON.parse(text) as {error?: {code?: string}}).error?.code;
  } catch {
    return undefined;
  }
}
