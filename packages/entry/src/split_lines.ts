import {ErrorCodes, VmuxError} from '@vanillamux/shared';

const NEWLINE = 0x0a;
/** Longest line; frames of engines are under 1 KB. */
const MAX_LINE_BYTES = 64 * 1_024;

/**
 * Splits a byte stream into non-empty lines without their newlines. Throws
 * `BackendFailed` when a line is longer than `MAX_LINE_BYTES`.
 */
export async function* splitLines(
  chunks: AsyncIterable<Buffer>,
): AsyncIterable<string> {
  let remainder: Buffer[] = [];
  let remainderBytes = 0;
  for await (const chunk of chunks) {
    let lineStart = 0;
    let newlineIndex = chunk.indexOf(NEWLINE);
    while (newlineIndex >= 0) {
      const line = Buffer.concat([
        ...remainder,
        chunk.subarray(lineStart, newlineIndex),
      ]);
      remainder = [];
      remainderBytes = 0;
      if (line.length > 0) yield line.toString('utf8');
      lineStart = newlineIndex + 1;
      newlineIndex = chunk.indexOf(NEWLINE, lineStart);
    }
    remainder.push(chunk.subarray(lineStart));
    remainderBytes += chunk.length - lineStart;
    if (remainderBytes > MAX_LINE_BYTES) {
      const message = `a line of more than ${MAX_LINE_BYTES} bytes`;
      throw new VmuxError(ErrorCodes.BackendFailed, {message});
    }
  }
}
