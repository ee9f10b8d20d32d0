import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {decodeNotice} from '../src/peers/decode_notice.js';
import {encodeNotice} from '../src/peers/encode_notice.js';
import {placementNoticeSchema} from '../src/peers/placement_notice_schema.js';

const RUNS = {seed: 48, numRuns: 1_000};

const figure = fc.oneof(
  fc.nat(),
  fc.double({min: 0, noNaN: true, noDefaultInfinity: true}),
);
const placedWork = fc.tuple(
  fc.string(),
  ...Array.from({length: 7}, () => figure),
);
/** A notice as each build sends it. */
const notice = fc.record(
  {
    from: fc.string(),
    work: fc.string(),
    relay: fc.boolean(),
    placed: fc.array(placedWork, {maxLength: 3}),
    ended: fc.array(fc.string(), {maxLength: 3}),
    departures: fc.record({facts: fc.constant([])}),
    reach: fc.record({lost: fc.array(fc.string(), {maxLength: 2})}),
    limits: fc.record({facts: fc.constant([])}),
    sync: fc.constantFrom('request', 'reply', 'other'),
  },
  {requiredKeys: ['from', 'work', 'relay', 'placed']},
);
/** What a fault, or another build, may have put there. */
const odd = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom(-1, '', null, [], {}),
  fc.array(fc.array(fc.jsonValue(), {minLength: 7, maxLength: 9})),
);
const path = fc.constantFrom(
  ...['from', 'work', 'relay', 'placed', 'ended', 'more', '__proto__'],
);

/** A notice in which one field, or one figure of a placement, is replaced. */
const damaged = fc
  .tuple(notice, path, odd, fc.option(fc.nat({max: 8})))
  .map(([valid, key, value, index]) => {
    const copy = structuredClone(valid) as Record<string, unknown>;
    const [first] = copy['placed'] as unknown[][];
    if (index !== null && first) first[index] = value;
    else
      Object.defineProperty(copy, key, {
        value,
        enumerable: true,
        configurable: true,
      });
    return copy;
  });

describe('decodeNotice', () => {
  it('accepts what the schema accepts, with the same result', () => {
    fc.assert(
      fc.property(fc.oneof(notice, damaged, fc.jsonValue()), value => {
        const text = JSON.stringify(value);
        const {success, data} = placementNoticeSchema.safeParse(
          JSON.parse(text),
        );
        assert.deepEqual(
          decodeNotice(Buffer.from(text)),
          success ? data : undefined,
        );
      }),
      RUNS,
    );
  });

  it('decodes what is encoded, with the relay that it is encoded for', () => {
    fc.assert(
      fc.property(notice, fc.boolean(), (value, relay) => {
        const parsed = placementNoticeSchema.safeParse(value);
        fc.pre(parsed.success);
        const sent = {...parsed.data!, relay};
        assert.deepEqual(
          decodeNotice(encodeNotice(parsed.data!, relay)),
          JSON.parse(JSON.stringify(sent)),
        );
      }),
      RUNS,
    );
  });
});
