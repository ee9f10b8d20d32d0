import type {IncomingMessage} from 'node:http';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';

/**
 * Reads the whole body of a request. Fails with `BodyTooLarge`, or with
 * `Cancelled` when the client leaves before the end.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer>> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      else resolve(fail(new VmuxError(ErrorCodes.BodyTooLarge)));
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
