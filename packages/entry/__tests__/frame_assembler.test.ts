import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FrameKind, type Frame} from '@vanillamux/protocol';
import fc from 'fast-check';
import {FrameAssembler} from '../src/frame_assembler.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_203};

function createFrame(index: number, over: Partial<Frame> = {}): Frame {
  return {
    kind: FrameKind.Token,
    requestId: 'r',
    attempt: 1,
    index,
    text: `t${index}`,
    ...over,
  };
}

describe('frames of one answer', () => {
  it('reach the caller once and in order under any schedule', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 30}),
        fc.array(fc.nat(60), {maxLength: 120}),
        (length, schedule) => {
          const assembler = new FrameAssembler('r');
          const owner = {requestId: 'r', attempt: 1};
          const delivered: number[] = [];
          const receive = (frame: Frame) =>
            assembler
              .accept(frame, owner)
              .forEach(({index}) => delivered.push(index));
          for (const index of schedule) receive(createFrame(index % length));
          // What the schedule left out comes late, in the end.
          for (let index = 0; index < length; index++) {
            receive(createFrame(index));
          }
          assert.deepEqual(
            delivered,
            Array.from({length}, (_, index) => index),
          );
          const end = createFrame(length, {kind: FrameKind.Done});
          assert.ok(assembler.isComplete(end));
        },
      ),
      property,
    );
  });

  for (const {name, frame} of [
    {name: 'another request', frame: createFrame(0, {requestId: 'other'})},
    {name: 'a superseded attempt', frame: createFrame(0, {attempt: 0})},
    {name: 'a later attempt', frame: createFrame(0, {attempt: 2})},
  ]) {
    it(`are dropped when they belong to ${name}`, () => {
      const assembler = new FrameAssembler('r');
      const owner = {requestId: 'r', attempt: 1};
      assert.deepEqual(assembler.accept(frame, owner), []);
      assert.equal(assembler.next, 0);
    });
  }

  it('go on with the next attempt where the one before stopped', () => {
    const assembler = new FrameAssembler('r');
    const first = {requestId: 'r', attempt: 1};
    assembler.accept(createFrame(0), first);
    assembler.accept(createFrame(2), first);
    assembler.startAttempt();
    const second = {requestId: 'r', attempt: 2};
    const ready = [1, 2].flatMap(index =>
      assembler.accept(createFrame(index, {attempt: 2}), second),
    );
    assert.deepEqual(
      ready.map(({index}) => index),
      [1, 2],
    );
  });
});
