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
const CALL_TIMEOUT_MS = 1_500;
const MAX_CONNECTIONS = 1_024;
/** Engines send heartbeats four times as often. */
export const SILENCE_LIMIT_MS = 1_000;

/** Identity of an attempt and the next token that is needed. */
export interface ResumePoint {
  readonly requestId: string;
  readonly attempt: number;
  readonly fromIndex: number;
}

/** Calls engines over HTTP. */
export class EngineClient {
  private readonly agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    connections: MAX_CONNECTIONS,
    headersTimeout: 0,
    bodyTimeout: 0,
    // A pooled connection may have gone silent while idle.
    keepAliveTimeout: 4_000,
  });

  /** Starts a request and returns its frames. */
  generate(
    to: Address,
    body: GenerateRequest,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    return this.openStream(to, '/v1/generate', body, signal);
  }

  /** Attaches to a request that the engine already runs. */
  resume(
    to: Address,
    body: ResumePoint,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    return this.openStream(to, '/v1/resume', body, signal);
  }

  /** Cancels an attempt. Succeeds only when the engine has confirmed it. */
  async cancel(
    to: Address,
    body: {readonly requestId: string; readonly attempt: number},
  ): Promise<Result<void>> {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const answer = await this.post(to, '/v1/cancel', body, signal);
    if (!answer.ok) return answer;
    await answer.value.body.dump();
    return succeed(undefined);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async openStream(
    to: Address,
    path: string,
    body: object,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    const answer = await this.post(to, path, body, signal);
    if (!answer.ok) return answer;
    return succeed(readFrames(answer.value.body));
  }

  private async post(
    to: Address,
    path: string,
    body: object,
    signal: AbortSignal,
  ): Promise<Result<Dispatcher.ResponseData>> {
    let response: Dispatcher.ResponseData;
    try {
      response = await request(`http://${to.host}:${to.port}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        headers: {'content-type': 'application/json'},
        dispatcher: this.agent,
        signal,
      });
    } catch (error) {
      return fail(toVmuxError(error));
    }
    if (response.statusCode < 300) return succeed(response);
    return fail(await readError(response));
  }
}

async function* readFrames(body: AsyncIterable<Buffer>): AsyncIterable<Frame> {
  for await (const line of splitLines(body)) {
    const frame = frameSchema.safeParse(JSON.parse(line));
    if (frame.success) yield frame.data;
  }
}

async function readError(
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
  const neverSent =
    code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return new VmuxError(ErrorCodes.BackendFailed, {
    message: `backend server cannot be reached: ${message ?? String(error)}`,
    ran: neverSent ? RunState.NotRun : RunState.Unknown,
    cause: error,
  });
}
