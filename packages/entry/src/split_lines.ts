const NEWLINE = 0x0a;

/** Splits a byte stream into its lines, without the newline. */
export async function* splitLines(
  chunks: AsyncIterable<Buffer>,
): AsyncIterable<string> {
  let remainder: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    let lineStart = 0;
    let newlineIndex = chunk.indexOf(NEWLINE);
    while (newlineIndex >= 0) {
      const line = Buffer.concat([
        remainder,
        chunk.subarray(lineStart, newlineIndex),
      ]);
      remainder = Buffer.alloc(0);
      if (line.length > 0) yield line.toString('utf8');
      lineStart = newlineIndex + 1;
      newlineIndex = chunk.indexOf(NEWLINE, lineStart);
    }
    remainder = Buffer.concat([remainder, chunk.subarray(lineStart)]);
  }
}
