import type {IncomingMessage} from 'node:http';
import {ErrorCodes} from './error_codes.js';
import {fail} from './fail.js';
import {isChunked} from './is_chunked.js';
import type {Result} from './result.js';
import {succeed} from './succeed.js';
import {VmuxError} from './vmux_error.js';

/**
 * Bytes beyond the size limit that are read and discarded. If the connection
 * closed while the client was still sending, the client would lose the
 * response.
 */
const MAX_DISCARDED_BYTES = 64 * 1_024 * 1_024;

/** Options of `readBody`. */
export interface ReadBodyOptions {
  /** Called with the size of each part; false if there is no room to keep it. */
  readonly takeBytes?: (bytes: number) => boolean;
  /** Time within which the whole body has to arrive, in milliseconds. */
  readonly timeoutMs?: number;
}

/**
 * Reads the whole body of a request. Fails with `BodyTooLarge` when it is
 * larger than `maxBytes`, with `Overloaded` when there is no room for it, and with
 * `BadRequest` when it has a transfer coding other than `chunked`, but only after the client has sent the whole body or `MAX_DISCARDED_BYTES` beyond
 * the limit; what arrives by then is not kept. Fails with `Timeout` when the
 * body takes too long, and with `Cancelled` when the client disconnects before
 * the end.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  {takeBytes = () => true, timeoutMs}: ReadBodyOptions = {},
): Promise<Result<Buffer>> {
  const message = `request body is larger than ${maxBytes} bytes`;
  const tooLarge = fail(new VmuxError(ErrorCodes.BodyTooLarge, {message}));
  return new Promise(resolvePromise => {
    let chunks: Buffer[] = [];
    let size = 0;
    let refusal = checkCoding(req);
    const timer =
      timeoutMs === undefined
        ? undefined
        : setTimeout(() => {
            refuse(fail(new VmuxError(ErrorCodes.Timeout)));
            resolve(refusal!);
          }, timeoutMs);
    const resolve = (result: Result<Buffer>): void => {
      clearTimeout(timer);
      resolvePromise(result);
    };
    const refuse = (result: Result<Buffer>): void => {
      refusal ??= result;
      chunks = [];
    };
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) refuse(tooLarge);
      else if (!refusal && !takeBytes(chunk.length))
        refuse(fail(new VmuxError(ErrorCodes.Overloaded)));
      if (!refusal) chunks.push(chunk);
      else if (size > maxBytes + MAX_DISCARDED_BYTES) resolve(refusal);
    });
    req.on('end', () => resolve(refusal ?? succeed(Buffer.concat(chunks))));
    const onDisconnect = (): void =>
      resolve(fail(new VmuxError(ErrorCodes.Cancelled)));
    req.on('error', onDisconnect);
    req.on('close', onDisconnect);
    // The client may have disconnected while the request waited to be read.
    if (req.destroyed && !req.complete) onDisconnect();
  });
}

/** Node.js removes the chunks of an encoded body, and no other coding. */
function checkCoding({headers}: IncomingMessage): Result<Buffer> | undefined {
  const coding = headers['transfer-encoding'];
  if (coding === undefined || isChunked(coding)) return undefined;
  const message = `transfer coding ${JSON.stringify(coding)} is not supported`;
  return fail(new VmuxError(ErrorCodes.BadRequest, {message}));
}
