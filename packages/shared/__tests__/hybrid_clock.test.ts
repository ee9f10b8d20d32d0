import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {HybridClock} from '../src/index.js';

const propertyOptions = {numRuns: 300, seed: 20_261_203};

describe('hybrid logical clock', () => {
  it('orders what follows a message after it, however the clocks differ', () => {
    const step = fc.record({
      host: fc.nat(2),
      to: fc.nat(2),
      advanceMs: fc.integer({min: 0, max: 50}),
    });
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: -5_000, max: 5_000}), {
          minLength: 3,
          maxLength: 3,
        }),
        fc.array(step, {maxLength: 60}),
        (offsets, steps) => {
          let nowMs = 1_764_800_000_000;
          const clocks = offsets.map(
            offset => new HybridClock(() => nowMs + offset),
          );
          const latest = ['', '', ''];
          for (const {host, to, advanceMs} of steps) {
            nowMs += advanceMs;
            const sent = clocks[host]!.now();
            assert.ok(sent > latest[host]!, 'a clock never runs backwards');
            latest[host] = sent;
            clocks[to]!.observe(sent);
            const received = clocks[to]!.now();
            assert.ok(received > sent, 'an effect follows its cause');
            latest[to] = received;
          }
        },
      ),
      propertyOptions,
    );
  });

  it('is not dragged along by a peer whose clock is far ahead', () => {
    const clock = new HybridClock(() => 1_000);
    clock.observe('2199-01-01T00:00:00.000Z~00000');
    assert.equal(clock.now(), '1970-01-01T00:00:01.000Z~00000');
  });

  it('ignores what is not a timestamp', () => {
    const clock = new HybridClock(() => 1_000);
    clock.observe('tomorrow');
    clock.observe('');
    assert.equal(clock.now(), '1970-01-01T00:00:01.000Z~00000');
  });
});
