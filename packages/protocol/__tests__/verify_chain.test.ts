import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  EMPTY_CHAIN_HASH,
  hashRecordEntry,
  RecordKind,
  verifyChain,
  type RecordEntry,
} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 200);
const propertyOptions = {numRuns: RUNS, seed: 20_261_203};

function createChain(length: number): RecordEntry[] {
  const chain: RecordEntry[] = [];
  for (let sequence = 0; sequence < length; sequence++) {
    const entry = {
      chain: 'entry-1/1',
      sequence,
      at: `2026-01-01T00:00:00.000Z~${sequence}`,
      previousHash: chain.at(-1)?.hash ?? EMPTY_CHAIN_HASH,
      kind: RecordKind.Admitted,
      failureDomain: 'fd-a',
      workspace: 'tartu',
      promptTokens: sequence,
    };
    chain.push({...entry, hash: hashRecordEntry(entry)});
  }
  return chain;
}

const changedPosition = fc.record({
  length: fc.integer({min: 3, max: 20}),
  at: fc.nat(),
});

describe('a chain of the record', () => {
  it('verifies in any order and with repeated deliveries', () => {
    fc.assert(
      fc.property(fc.shuffledSubarray(createChain(12), {minLength: 12}), list =>
        assert.deepEqual(verifyChain([...list, ...list.slice(0, 3)]), []),
      ),
      propertyOptions,
    );
  });

  it('names the place of a changed entry', () => {
    fc.assert(
      fc.property(changedPosition, ({length, at}) => {
        const chain = createChain(length);
        const index = at % length;
        chain[index] = {...chain[index]!, workspace: 'viljandi'};
        const [corruption] = verifyChain(chain);
        assert.equal(corruption?.sequence, index);
        assert.match(corruption?.reason ?? '', /hash/);
      }),
      propertyOptions,
    );
  });

  it('names a changed entry whose hash was made to fit', () => {
    fc.assert(
      fc.property(changedPosition, ({length, at}) => {
        const chain = createChain(length);
        const index = at % (length - 1);
        const forged = {...chain[index]!, workspace: 'viljandi'};
        chain[index] = {...forged, hash: hashRecordEntry(forged)};
        const [corruption] = verifyChain(chain);
        assert.equal(corruption?.sequence, index + 1);
        assert.match(corruption?.reason ?? '', /does not follow/);
      }),
      propertyOptions,
    );
  });

  it('names a gap', () => {
    fc.assert(
      fc.property(changedPosition, ({length, at}) => {
        const chain = createChain(length);
        const index = at % (length - 1);
        chain.splice(index, 1);
        const [corruption] = verifyChain(chain);
        assert.equal(corruption?.sequence, index + 1);
        assert.match(corruption?.reason ?? '', /missing/);
      }),
      propertyOptions,
    );
  });
});
