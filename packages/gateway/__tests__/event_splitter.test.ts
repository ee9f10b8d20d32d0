import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {EventSplitter} from '../src/request/event_splitter.js';

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
      bytes: 'data: no id\n\n',
      whole: 'data: no id\n\n',
      lastEventId: undefined,
    },
  ];
  for (const {bytes, whole, lastEventId} of CASES) {
    it(`takes whole events of ${JSON.stringify(bytes)}`, () => {
      const splitter = new EventSplitter();
      assert.equal(splitter.push(Buffer.from(bytes)).bytes.toString(), whole);
      assert.equal(splitter.lastEventId, lastEventId);
    });
  }

  it('passes every byte on, however the stream is cut', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({min: 1, max: 9})), sizes => {
        const splitter = new EventSplitter();
        let passed = '';
        let at = 0;
        for (const size of [...sizes, STREAM.length]) {
          const bytes = Buffer.from(STREAM.slice(at, at + size));
          passed += splitter.push(bytes).bytes.toString();
          at += size;
          assert.ok(passed === '' || passed.endsWith('\n\n'));
        }
        assert.equal(passed + splitter.takeRemainder().toString(), STREAM);
        assert.equal(splitter.lastEventId, '3');
      }),
      {seed: 11, numRuns: 200},
    );
  });
});
