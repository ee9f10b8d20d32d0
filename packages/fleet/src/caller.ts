import type {Address} from '@vanillamux/shared';
import {monotonicMs} from '@vanillamux/shared';
import {Agent, request, type Dispatcher} from 'undici';

/** A chat request as a caller makes it. */
export interface ChatCall {
  readonly apiKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly signal?: AbortSignal;
}

/** What a caller saw of an answer. */
export interface CallOutcome {
  readonly status: number;
  readonly text: string;
  readonly requestId: string;
  readonly backend: string;
  /** Milliseconds from sending to the first token. */
  readonly firstTokenMs?: number;
  readonly durationMs: number;
  readonly tokens: number;
  readonly headers: Readonly<Record<string, unknown>>;
  /** Error code, when the answer or the end of the stream is an error. */
  readonly errorCode?: string;
}

interface StreamEvent {
  readonly error?: {readonly code: string};
  readonly choices?: ReadonlyArray<{
    readonly delta?: {readonly content?: string};
  }>;
}

const EVENT_PREFIX = 'data: ';

/** A caller of an entry host, for tests, demonstrations and load. */
export class Caller {
  private readonly agent = new Agent({
    connections: 1_024,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(private readonly entry: Address) {}

  /** Sends a streaming chat request and reads the answer to its end. */
  async chat(call: ChatCall): Promise<CallOutcome> {
    const startedMs = monotonicMs();
    const response = await this.send(
      '/v1/chat/completions',
      'POST',
      {authorization: `Bearer ${call.apiKey}`},
      JSON.stringify({
        model: call.model,
        messages: [{role: 'user', content: call.prompt}],
        max_tokens: call.maxTokens,
        stream: true,
      }),
      call.signal,
    );
    if (response.statusCode !== 200) return readWhole(response, startedMs);
    let text = '';
    let tokens = 0;
    let firstTokenMs: number | undefined;
    let errorCode: string | undefined;
    let rest = '';
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      rest += chunk.toString('utf8');
      const events = rest.split('\n\n');
      rest = events.pop() ?? '';
      for (const line of events) {
        if (!line.startsWith(EVENT_PREFIX)) continue;
        const data = line.slice(EVENT_PREFIX.length);
        if (data === '[DONE]') continue;
        const event = JSON.parse(data) as StreamEvent;
        errorCode ??= event.error?.code;
        const content = event.choices?.[0]?.delta?.content;
        if (content === undefined) continue;
        firstTokenMs ??= monotonicMs() - startedMs;
        text += content;
        tokens++;
      }
    }
    return {
      ...describe(response, startedMs),
      text,
      tokens,
      firstTokenMs,
      errorCode,
    };
  }

  /** Sends any request and reads the whole answer. */
  async call(
    path: string,
    method: Dispatcher.HttpMethod,
    headers: Record<string, string> = {},
    body?: string,
  ): Promise<CallOutcome> {
    const startedMs = monotonicMs();
    const response = await this.send(path, method, headers, body);
    return readWhole(response, startedMs);
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
    const {host, port} = this.entry;
    return request(`http://${host}:${port}${path}`, {
      method,
      headers: {'content-type': 'application/json', ...headers},
      body,
      signal,
      dispatcher: this.agent,
    });
  }
}

async function readWhole(
  response: Dispatcher.ResponseData,
  startedMs: number,
): Promise<CallOutcome> {
  const text = await response.body.text();
  return {
    ...describe(response, startedMs),
    text,
    tokens: 0,
    errorCode: readErrorCode(text),
  };
}

function describe(
  {statusCode, headers}: Dispatcher.ResponseData,
  startedMs: number,
): Pick<
  CallOutcome,
  'status' | 'requestId' | 'backend' | 'durationMs' | 'headers'
> {
  return {
    status: statusCode,
    requestId: String(headers['x-request-id'] ?? ''),
    backend: String(headers['x-vmux-backend'] ?? ''),
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
