import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {LogLimiter} from '../src/log_limiter.js';

describe('LogLimiter', () => {
  it('passes up to the limit of each message a second, and counts the rest', () => {
    let nowMs = 0;
    const limiter = new LogLimiter({maxLines: 2, now: () => nowMs});
    const admit = (message: string): number | undefined =>
      limiter.admit(message);
    assert.deepEqual(['a', 'a', 'a', 'a', 'b'].map(admit), [
      0,
      0,
      undefined,
      undefined,
      0,
    ]);
    nowMs = 1_000;
    assert.deepEqual(['a', 'a', 'a'].map(admit), [2, 0, undefined]);
  });

  it('counts a line that could not be written', () => {
    let nowMs = 0;
    const limiter = new LogLimiter({maxLines: 2, now: () => nowMs});
    limiter.admit('a');
    limiter.countDropped('a');
    nowMs = 1_000;
    assert.equal(limiter.admit('a'), 1);
  });
});
