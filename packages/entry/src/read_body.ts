import type {IncomingMessage} from 'node:http';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';

/** Reads a body; stops as soon as it is larger than `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return fail(tooLarge(maxBytes));
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return fail(tooLarge(maxBytes));
      chunks.push(chunk);
    }
  } catch {
    return fail(new VmuxError(ErrorCodes.Cancelled));
  }
  return succeed(Buffer.concat(chunks));
}

function tooLarge(maxBytes: number): VmuxError {
  const message = `request body is larger than ${maxBytes} bytes`;
  return new VmuxError(ErrorCodes.BodyTooLarge, {message});
}
