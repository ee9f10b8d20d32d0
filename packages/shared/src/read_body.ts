import type {IncomingMessage} from 'node:http';
import {ErrorCodes} from './error_codes.js';
import {fail} from './fail.js';
import type {Result} from './result.js';
import {succeed} from './succeed.js';
import {VmuxError} from './vmux_error.js';

/**
 * Bytes of a body over the limit that are read and dropped. A client that is
 * still writing when the connection closes loses the answer.
 */
const MAX_DISCARDED_BYTES = 64 * 1_024 * 1_024;

/**
 * Reads the whole body of a request. Fails with `BodyTooLarge` when it is
 * larger than `maxBytes`, once the client has sent it, and with `Cancelled`
 * when the client leaves before the end.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer>> {
  const message = `request body is larger than ${maxBytes} bytes`;
  const tooLarge = fail(new VmuxError(ErrorCodes.BodyTooLarge, {message}));
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      if (size > maxBytes + MAX_DISCARDED_BYTES) resolve(tooLarge);
    });
    req.on('end', () =>
      resolve(size > maxBytes ? tooLarge : succeed(Buffer.concat(chunks))),
    );
    const onDisconnect = (): void =>
      resolve(fail(new VmuxError(ErrorCodes.Cancelled)));
    req.on('error', onDisconnect);
    req.on('close', onDisconnect);
    // The client may have left while the request waited to be read.
    if (req.destroyed && !req.complete) onDisconnect();
  });
}
