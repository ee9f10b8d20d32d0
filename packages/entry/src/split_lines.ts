const NEWLINE = 0x0a;

/** Splits a byte stream into its lines, without the newline. */
export async function* splitLines(
  chunks: AsyncIterable<Buffer>,
): AsyncIterable<string> {
  let rest: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    let start = 0;
    let end = chunk.indexOf(NEWLINE);
    while (end >= 0) {
      const line = Buffer.concat([rest, chunk.subarray(start, end)]);
      rest = Buffer.alloc(0);
      if (line.length > 0) yield line.toString('utf8');
      start = end + 1;
      end = chunk.indexOf(NEWLINE, start);
    }
    rest = Buffer.concat([rest, chunk.subarray(start)]);
  }
}
