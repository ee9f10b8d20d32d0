import type {IncomingHttpHeaders} from 'node:http';
import type {StoredResponse} from '@vanillamux/control';
import {
  confirmEnd,
  ErrorCodes,
  fail,
  hasBody,
  RunState,
  succeed,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {request, type Dispatcher} from 'undici';
import {ServiceConnection} from './service_connection.js';

const MAX_RESPONSE_BYTES = 1_024 * 1_024;
const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key'];
/** Connection errors; no byte of the request has been sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** Path below the service, with the query string. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly requestId: string;
}

/** Calls plain services over HTTP. */
export class ServiceClient {
  private readonly connections = new Set<ServiceConnection>();

  /**
   * Sends a call once. An error's `ran` is `not_run` only if no byte can have
   * been sent. Every call uses a new connection: if the service closed a kept
   * connection at the moment of a call, the outcome would be unknown.
   */
  async send(
    address: Address,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<StoredResponse>> {
    try {
      return await this.sendOnce(address, call, signal);
    } catch (error) {
      return fail(toServiceCallError(error, signal));
    }
  }

  /** Closes all connections; calls in flight fail. */
  async close(): Promise<void> {
    const connections = [...this.connections];
    await Promise.all(connections.map(connection => connection.close()));
  }

  private async sendOnce(
    address: Address,
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<StoredResponse>> {
    const connection = new ServiceConnection(address);
    this.connections.add(connection);
    try {
      const response = await request(
        `http://${address.host}:${address.port}${call.path}`,
        {
          method: call.method as Dispatcher.HttpMethod,
          headers: {
            ...selectForwardedHeaders(call.headers),
            'x-request-id': call.requestId,
          },
          body: call.body.length > 0 ? call.body : undefined,
          reset: true,
          dispatcher: connection.dispatcher,
          signal,
        },
      );
      const result = await readResponse(response);
      // A crash ends a connection like the end of a body without a length.
      const isProven =
        isFramed(response) || !hasBody(call.method, response.statusCode);
      if (isProven || !(await confirmEnd(address))) return result;
      const message = 'the service was gone at the end of its response';
      const options = {message, ran: RunState.Unknown};
      return fail(new VmuxError(ErrorCodes.BackendFailed, options));
    } finally {
      this.connections.delete(connection);
      await connection.close();
    }
  }
}

/** Whether the headers delimit the body. */
function isFramed({headers}: Dispatcher.ResponseData): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

function selectForwardedHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') forwarded[name] = value;
  }
  return forwarded;
}

async function readResponse(
  response: Dispatcher.ResponseData,
): Promise<Result<StoredResponse>> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_RESPONSE_BYTES) {
      const message = `answer is larger than ${MAX_RESPONSE_BYTES} bytes`;
      const options = {message, ran: RunState.Unknown};
      return fail(new VmuxError(ErrorCodes.BackendFailed, options));
    }
    chunks.push(chunk);
  }
  const contentType = response.headers['content-type'];
  return succeed({
    status: response.statusCode,
    contentType:
      typeof contentType === 'string'
        ? contentType
        : 'application/octet-stream',
    body: Buffer.concat(chunks).toString('base64'),
  });
}

function toServiceCallError(error: unknown, signal: AbortSignal): VmuxError {
  const {code, message} = error as {code?: string; message?: string};
  const wasNotSent = code !== undefined && CONNECT_ERROR_CODES.has(code);
  const ran = wasNotSent ? RunState.NotRun : RunState.Unknown;
  if (signal.aborted) return new VmuxError(ErrorCodes.DeadlineExceeded, {ran});
  return new VmuxError(ErrorCodes.BackendFailed, {
    message: `service call failed: ${message ?? String(error)}`,
    ran,
    cause: error,
  });
}
