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
import {Agent, request, type Dispatcher} from 'undici';
import {splitLines} from './split_lines.js';

const CONNECT_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 1_500;
const MAX_CONNECTIONS_PER_ENGINE = 1_024;
/** Engines send heartbeats four times as often. */
export const FRAME_TIMEOUT_MS = 1_000;

/** Identity of an attempt and the next token that is needed. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly attempt: number;
  readonly fromIndex: number;
}

/** Calls engines over HTTP. */
export class EngineClient {
  private readonly agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    connections: MAX_CONNECTIONS_PER_ENGINE,
    headersTimeout: 0,
    bodyTimeout: 0,
    // A pooled connection may have gone silent while idle.
    keepAliveTimeout: 4_000,
  });

  /** Starts a request and returns its frames. */
  generate(
    address: Address,
    body: GenerateRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    return this.openStream(address, '/v1/generate', body, signal);
  }

  /** Attaches to a request that the engine already runs. */
  resume(
    address: Address,
    body: ResumeRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    return this.openStream(address, '/v1/resume', body, signal);
  }

  /** Cancels an attempt. Succeeds only when the engine has confirmed it. */
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
  ): Promise<Result<AsyncIterable<Frame>>> {
    const response = await this.post(address, path, body, signal);
    if (!response.ok) return response;
    return succeed(readFrames(response.value.body));
  }

  private async post(
    address: Address,
    path: string,
    body: object,
    signal: AbortSignal,
  ): Promise<Result<Dispatcher.ResponseData>> {
    let response: Dispatcher.ResponseData;
    try {
      response = await request(
        `http://${address.host}:${address.port}${path}`,
        {
          method: 'POST',
          body: JSON.stringify(body),
          headers: {'content-type': 'application/json'},
          dispatcher: this.agent,
          signal,
        },
      );
    } catch (error) {
      return fail(toVmuxError(error));
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
  try {
    const {error} = (await response.body.json()) as {error: VmuxErrorBody};
    return VmuxError.fromBody({...error, ran: RunState.NotRun});
  } catch {
    return new VmuxError(ErrorCodes.BackendFailed, {ran: RunState.Unknown});
  }
}

function toVmuxError(error: unknown): VmuxError {
  const {code, message} = error as {code?: string; message?: string};
  const wasNotSent =
    code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return new VmuxError(ErrorCodes.BackendFailed, {
    message: `backend server cannot be reached: ${message ?? String(error)}`,
    ran: wasNotSent ? RunState.NotRun : RunState.Unknown,
    cause: error,
  });
}
