import {
  frameSchema,
  type Frame,
  type GenerateRequest,
} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  RunState,
  succeed,
  VmuxError,
  type Address,
  type Result,
  type VmuxErrorBody,
} from '@vanillamux/shared';
import {Agent, Pool, request, type Dispatcher} from 'undici';
import {checkResponses} from './check_responses.js';
import {CheckedClient} from './checked_client.js';
import {splitLines} from './split_lines.js';

const CANCEL_TIMEOUT_MS = 1_500;
/** Largest body of an error response; those of engines are under 1 KB. */
const MAX_ERROR_BODY_BYTES = 64 * 1_024;
const MAX_CONNECTIONS_PER_ENGINE = 1_024;
/**
 * Time without any frame after which a stream is treated as broken. Engines
 * send heartbeat frames four times as often.
 */
export const FRAME_TIMEOUT_MS = 1_000;

/** Errors of a connection attempt; no byte of the request has been sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);
/** Errors of a connection attempt that show that no engine is running. */
const NOT_RUNNING_CODES = new Set(['ECONNREFUSED']);

/** Body of `POST /v1/resume`: an attempt and the index of the next token. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly attempt: number;
  readonly fromIndex: number;
}

/** Calls engines over HTTP. */
export class EngineClient {
  private readonly agent = new Agent({
    connections: MAX_CONNECTIONS_PER_ENGINE,
    // The peer of an idle pooled connection may have stopped responding.
    keepAliveTimeout: 4_000,
    factory: (origin, options) =>
      new Pool(origin, {
        ...options,
        factory: (url, clientOptions) => new CheckedClient(url, clientOptions),
      }),
  });
  private readonly dispatcher = this.agent.compose(checkResponses);

  /** Starts an attempt and returns its frames. */
  generate(
    address: Address,
    body: GenerateRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    return this.openStream(address, '/v1/generate', body, signal);
  }

  /**
   * Reconnects to an attempt that the engine is already running. An error's
   * `ran` is `not_run` only if the engine has no such attempt.
   */
  resume(
    address: Address,
    body: ResumeRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    return this.openStream(
      address,
      '/v1/resume',
      body,
      signal,
      NOT_RUNNING_CODES,
    );
  }

  /** Cancels an attempt. Succeeds only once the engine has confirmed. */
  async cancel(
    address: Address,
    body: {readonly requestId: string; readonly attempt: number},
  ): Promise<Result<void>> {
    const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS);
    const response = await this.post(address, '/v1/cancel', body, signal);
    if (!response.ok) return response;
    await response.value.body.dump();
    return succeed(undefined);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async openStream(
    address: Address,
    path: string,
    body: object,
    signal: AbortSignal,
    notRunCodes = NOT_SENT_CODES,
  ): Promise<Result<AsyncIterable<Frame>>> {
    const response = await this.post(address, path, body, signal, notRunCodes);
    if (!response.ok) return response;
    return succeed(readFrames(response.value.body));
  }

  private async post(
    address: Address,
    path: string,
    body: object,
    signal: AbortSignal,
    notRunCodes = NOT_SENT_CODES,
  ): Promise<Result<Dispatcher.ResponseData>> {
    let response: Dispatcher.ResponseData;
    try {
      response = await request(
        `http://${address.host}:${address.port}${path}`,
        {
          method: 'POST',
          body: JSON.stringify(body),
          headers: {'content-type': 'application/json'},
          dispatcher: this.dispatcher,
          signal,
        },
      );
    } catch (error) {
      return fail(toVmuxError(error, notRunCodes));
    }
    if (response.statusCode < 300) return succeed(response);
    return fail(await parseErrorResponse(response));
  }
}

async function* readFrames(body: AsyncIterable<Buffer>): AsyncIterable<Frame> {
  for await (const line of splitLines(body)) {
    const frame = frameSchema.safeParse(JSON.parse(line));
    if (frame.success) yield frame.data;
  }
}

async function parseErrorResponse(
  response: Dispatcher.ResponseData,
): Promise<VmuxError> {
  const error = new VmuxError(ErrorCodes.BackendFailed, {
    ran: RunState.Unknown,
  });
  try {
    const text = await readErrorBody(response);
    if (text === undefined) return error;
    const body = JSON.parse(text) as {error: VmuxErrorBody};
    return VmuxError.fromBody({...body.error, ran: RunState.NotRun});
  } catch {
    return error;
  }
}

/** Reads a body; beyond its limit, closes the connection instead. */
async function readErrorBody({
  body,
}: Dispatcher.ResponseData): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_ERROR_BODY_BYTES) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function toVmuxError(
  error: unknown,
  notRunCodes: ReadonlySet<string>,
): VmuxError {
  const {code, message} = error as {code?: string; message?: string};
  const didNotRun = code !== undefined && notRunCodes.has(code);
  return new VmuxError(ErrorCodes.BackendFailed, {
    message: `backend server cannot be reached: ${message ?? String(error)}`,
    ran: didNotRun ? RunState.NotRun : RunState.Unknown,
    cause: error,
  });
}
