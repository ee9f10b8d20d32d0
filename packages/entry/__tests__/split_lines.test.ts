import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {splitLines} from '../src/split_lines.js';

const MAX_LINE_BYTES = 64 * 1_024;
const CHUNK_BYTES = 1_024;

describe('splitLines', () => {
  const CASES = [
    {text: 'a\nb\n', lines: ['a', 'b']},
    {text: '\n\na\n\nb', lines: ['a']},
    {
      text: `${'a'.repeat(MAX_LINE_BYTES)}\nb\n`,
      lines: ['a'.repeat(MAX_LINE_BYTES), 'b'],
    },
  ];
  for (const {text, lines} of CASES) {
    for (const chunkBytes of [1, CHUNK_BYTES]) {
      it(`returns ${lines.length} lines of ${text.length} bytes in chunks of ${chunkBytes}`, async () => {
        const received: string[] = [];
        for await (const line of splitLines(createChunks(text, chunkBytes)))
          received.push(line);
        assert.deepEqual(received, lines);
      });
    }
  }

  it('fails when a line is longer than its limit', async () => {
    const text = 'a'.repeat(MAX_LINE_BYTES + 1);
    const lines = splitLines(createChunks(text, CHUNK_BYTES));
    await assert.rejects(async () => {
      for await (const line of lines) assert.fail(line);
    }, /a line of more than 65536 bytes/);
  });
});

async function* createChunks(
  text: string,
  chunkBytes: number,
): AsyncIterable<Buffer> {
  for (let start = 0; start < text.length; start += chunkBytes)
    yield Buffer.from(text.slice(start, start + chunkBytes));
}
