import type {IncomingMessage} from 'node:http';
import {ErrorCodes} from './error_codes.js';
import {fail} from './fail.js';
import type {Result} from './result.js';
import {succeed} from './succeed.js';
import {VmuxError} from './vmux_error.js';

/**
 * Reads the whole body of a request. Fails with `BodyTooLarge` as soon as it is
 * larger than `maxBytes`, and with `Cancelled` when the client leaves before
 * the end. The request stays open, so that it can be answered.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer>> {
  const message = `request body is larger than ${maxBytes} bytes`;
  const tooLarge = fail(new VmuxError(ErrorCodes.BodyTooLarge, {message}));
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve(tooLarge);
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      else resolve(tooLarge);
    });
    req.on('end', () => resolve(succeed(Buffer.concat(chunks))));
    const onBreak = (): void =>
      resolve(fail(new VmuxError(ErrorCodes.Cancelled)));
    req.on('error', onBreak);
    req.on('close', onBreak);
    // The client may have left while the request waited to be read.
    if (req.destroyed && !req.complete) onBreak();
  });
}
