import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import fc from 'fast-check';
import {EventSplitter} from '../src/request/event_splitter.js';

const MAX_EVENT_BYTES = 256 * 1_024;
const STREAM =
  'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: d\n\n';

describe('EventSplitter', () => {
  const CASES = [
    {bytes: 'id: 1\nda', whole: '', lastEventId: undefined},
    {
      bytes: 'id: 1\ndata: a\n\nid: 2',
      whole: 'id: 1\ndata: a\n\n',
      lastEventId: '1',
    },
    {bytes: STREAM, whole: STREAM, lastEventId: '3'},
    {
      bytes: 'id: 1\r\ndata: a\r\n\r\nid: 2\r\n',
      whole: 'id: 1\r\ndata: a\r\n\r\n',
      lastEventId: '1',
    },
    {
      bytes: 'id: 1\n\nid: 2\r\n\r\nid: 3\n\n',
      whole: 'id: 1\n\nid: 2\r\n\r\nid: 3\n\n',
      lastEventId: '3',
    },
    {
      bytes: 'data: no id\n\n',
      whole: 'data: no id\n\n',
      lastEventId: undefined,
    },
  ];
  for (const {bytes, whole, lastEventId} of CASES) {
    it(`returns the complete events of ${JSON.stringify(bytes)}`, () => {
      const splitter = new EventSplitter({onTooLarge: assert.fail});
      assert.equal(splitter.push(Buffer.from(bytes)).bytes.toString(), whole);
      assert.equal(splitter.lastEventId, lastEventId);
    });
  }

  const LINE_ENDS = [
    {name: 'LF', stream: STREAM, eventEnd: '\n\n'},
    {
      name: 'CRLF',
      stream: STREAM.replaceAll('\n', '\r\n'),
      eventEnd: '\r\n\r\n',
    },
  ];
  for (const {name, stream, eventEnd} of LINE_ENDS) {
    it(`returns every byte once, whatever the sizes of the chunks, with ${name}`, () => {
      fc.assert(
        fc.property(fc.array(fc.integer({min: 1, max: 9})), sizes => {
          const splitter = new EventSplitter({onTooLarge: assert.fail});
          let passed = '';
          let at = 0;
          for (const size of [...sizes, stream.length]) {
            const bytes = Buffer.from(stream.slice(at, at + size));
            passed += splitter.push(bytes).bytes.toString();
            at += size;
            assert.ok(passed === '' || passed.endsWith(eventEnd));
          }
          assert.equal(passed + splitter.takeRemainder().toString(), stream);
          assert.equal(splitter.lastEventId, '3');
        }),
        {seed: 11, numRuns: 200},
      );
    });
  }

  for (const {size, calls} of [
    {size: MAX_EVENT_BYTES, calls: 0},
    {size: MAX_EVENT_BYTES + 1, calls: 1},
  ]) {
    it(`reports an event of ${size} bytes ${calls} times, and keeps it`, () => {
      const onTooLarge = mock.fn();
      const splitter = new EventSplitter({onTooLarge});
      const bytes = Buffer.alloc(size, 'a');
      splitter.push(bytes.subarray(0, MAX_EVENT_BYTES));
      splitter.push(bytes.subarray(MAX_EVENT_BYTES));
      assert.equal(onTooLarge.mock.callCount(), calls);
      assert.ok(splitter.takeRemainder().equals(bytes));
    });
  }

  it('leaves the returned events as they are when more bytes arrive', () => {
    const splitter = new EventSplitter({onTooLarge: assert.fail});
    splitter.push(Buffer.from('data: '));
    const {bytes} = splitter.push(Buffer.from('a\n\ndata: '));
    splitter.push(Buffer.from('b\n\ndata: c'));
    assert.equal(bytes.toString(), 'data: a\n\n');
  });

  it('copies the bytes of a large event a few times, not once a chunk', () => {
    let copied = 0;
    const {concat} = Buffer;
    const {copy} = Buffer.prototype;
    mock.method(Buffer, 'concat', (...args: Parameters<typeof concat>) => {
      const result = concat(...args);
      copied += result.length;
      return result;
    });
    mock.method(
      Buffer.prototype,
      'copy',
      function (this: Buffer, ...args: Parameters<typeof copy>): number {
        const count = copy.apply(this, args);
        copied += count;
        return count;
      },
    );
    try {
      const splitter = new EventSplitter({onTooLarge: assert.fail});
      const size = 32 * 1_024;
      const byte = Buffer.from('a');
      for (let count = 0; count < size; count++) splitter.push(byte);
      assert.equal(splitter.push(Buffer.from('\n\n')).bytes.length, size + 2);
      assert.ok(copied <= 8 * size, `${copied}`);
    } finally {
      mock.restoreAll();
    }
  });
});
