import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FrameKind, type Frame} from '@vanillamux/protocol';
import fc from 'fast-check';
import {FrameAssembler} from '../src/frame_assembler.js';

const PROPERTY_RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const propertyOptions = {numRuns: PROPERTY_RUNS, seed: 20_261_203};

function createFrame(index: number, overrides: Partial<Frame> = {}): Frame {
  return {
    kind: FrameKind.Token,
    requestId: 'r',
    attempt: 1,
    index,
    text: `t${index}`,
    ...overrides,
  };
}

describe('frames of one answer', () => {
  it('reach the caller once and in order under any schedule', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 30}),
        fc.array(fc.nat(60), {maxLength: 120}),
        (length, arrivals) => {
          const assembler = new FrameAssembler('r');
          const attemptId = {requestId: 'r', attempt: 1};
          const delivered: number[] = [];
          const receive = (frame: Frame) =>
            assembler
              .accept(frame, attemptId)
              .forEach(({index}) => delivered.push(index));
          for (const index of arrivals) receive(createFrame(index % length));
          // What the schedule left out comes late, in the end.
          for (let index = 0; index < length; index++) {
            receive(createFrame(index));
          }
          assert.deepEqual(
            delivered,
            Array.from({length}, (_, index) => index),
          );
          const doneFrame = createFrame(length, {kind: FrameKind.Done});
          assert.ok(assembler.isComplete(doneFrame));
        },
      ),
      propertyOptions,
    );
  });

  for (const {name, frame} of [
    {name: 'another request', frame: createFrame(0, {requestId: 'other'})},
    {name: 'a superseded attempt', frame: createFrame(0, {attempt: 0})},
    {name: 'a later attempt', frame: createFrame(0, {attempt: 2})},
  ]) {
    it(`are dropped when they belong to ${name}`, () => {
      const assembler = new FrameAssembler('r');
      const attemptId = {requestId: 'r', attempt: 1};
      assert.deepEqual(assembler.accept(frame, attemptId), []);
      assert.equal(assembler.nextIndex, 0);
    });
  }

  it('go on with the next attempt where the one before stopped', () => {
    const assembler = new FrameAssembler('r');
    const firstAttempt = {requestId: 'r', attempt: 1};
    assembler.accept(createFrame(0), firstAttempt);
    assembler.accept(createFrame(2), firstAttempt);
    assembler.discardBufferedFrames();
    const secondAttempt = {requestId: 'r', attempt: 2};
    const ready = [1, 2].flatMap(index =>
      assembler.accept(createFrame(index, {attempt: 2}), secondAttempt),
    );
    assert.deepEqual(
      ready.map(({index}) => index),
      [1, 2],
    );
  });
});
