import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MAX_HELPER_ENTRIES,
  VirtualClock,
  VirtualEngine,
  type VirtualWork,
} from '../src/index.js';

const SPEC = {
  batchSize: 2,
  memoryTokens: 232_000,
  stepMs: 1.02,
  stepMsPerSequence: 0.0033,
  stepMsPerThousandTokens: 0.00431,
  prefillTokensPerMs: 206,
  prefillMsPerMillionPairs: 0.138,
  stepsPerPass: 43,
  chunkTokens: 2_048,
};

/** Creates a whole prompt whose output has `events` groups of tokens. */
function createWork(
  promptTokens: number,
  events: number,
  onEvent: (isLast: boolean) => void,
): VirtualWork {
  return {
    promptTokens,
    promptPairs: promptTokens ** 2 / 2,
    outputTokens: events * SPEC.stepsPerPass,
    contextTokens: promptTokens,
    remotePrefillShares: 0,
    onEvent,
  };
}

describe('VirtualEngine', () => {
  // Lower bounds are the time for tokens and pairs alone; upper bounds add the
  // time of a few steps.
  const PROMPTS = [
    {tokens: 5_000, fromMs: 26, toMs: 31},
    {tokens: 45_000, fromMs: 358, toMs: 385},
    {tokens: 133_000, fromMs: 1_866, toMs: 1_940},
    {tokens: 232_000, fromMs: 4_840, toMs: 4_960},
  ];
  for (const {tokens, fromMs, toMs} of PROMPTS) {
    it(`processes ${tokens} tokens alone in the declared time`, () => {
      const clock = new VirtualClock();
      const engine = new VirtualEngine(SPEC, clock);
      let firstMs: number | undefined;
      engine.submit(createWork(tokens, 3, () => (firstMs ??= clock.nowMs)));
      clock.runUntilIdle();
      assert.ok(firstMs! >= fromMs && firstMs! <= toMs, `took ${firstMs} ms`);
    });
  }

  it('delays a stream while it processes a long prompt', () => {
    const clock = new VirtualClock();
    const engine = new VirtualEngine(SPEC, clock);
    const eventTimesMs: number[] = [];
    engine.submit(createWork(1_000, 20, () => eventTimesMs.push(clock.nowMs)));
    clock.schedule(200, () => engine.submit(createWork(45_000, 1, () => {})));
    clock.runUntilIdle();
    const pauses = eventTimesMs
      .slice(1)
      .map((atMs, at) => atMs - eventTimesMs[at]!);
    assert.ok(Math.min(...pauses) < 50, 'an iteration without prefill');
    assert.ok(
      Math.max(...pauses) > 358,
      'the iteration that processes the prompt',
    );
  });

  it('queues work while the batch is full', () => {
    const clock = new VirtualClock();
    const engine = new VirtualEngine(SPEC, clock);
    const completedIds: number[] = [];
    for (const id of [0, 1, 2]) {
      engine.submit(
        createWork(1_000, 5, isLast => isLast && completedIds.push(id)),
      );
    }
    clock.schedule(10, () => {
      assert.deepEqual(engine.load, {running: 2, waiting: 1});
    });
    clock.runUntilIdle();
    assert.deepEqual(completedIds, [0, 1, 2]);
  });

  it('starts decoding a split prompt after its last prefill share', () => {
    const clock = new VirtualClock();
    const [first, helper] = [0, 1].map(() => new VirtualEngine(SPEC, clock));
    let remoteShareMs = 0;
    let firstMs: number | undefined;
    const ownWork = first!.submit({
      ...createWork(10_000, 1, () => (firstMs ??= clock.nowMs)),
      remotePrefillShares: 1,
    });
    helper!.submit({
      ...createWork(60_000, 0, () => {}),
      contextTokens: 0,
      onPrefilled: () => {
        remoteShareMs = clock.nowMs;
        ownWork!.completeRemoteShare();
      },
    });
    clock.runUntilIdle();
    assert.ok(
      remoteShareMs > 300 && firstMs! >= remoteShareMs,
      `${remoteShareMs}, ${firstMs}`,
    );
  });

  it('reserves memory only while there is capacity', () => {
    const engine = new VirtualEngine(SPEC, new VirtualClock());
    assert.equal(engine.reserve(200_000), true);
    assert.equal(engine.reserve(100_000), false);
    engine.release(200_000);
    assert.equal(engine.reserve(100_000), true);
  });

  for (const {helperEntries, isTaken} of [
    {helperEntries: MAX_HELPER_ENTRIES, isTaken: true},
    {helperEntries: MAX_HELPER_ENTRIES + 1, isTaken: false},
  ]) {
    it(`${isTaken ? 'takes' : 'rejects'} a request with ${helperEntries} helper entries`, () => {
      const clock = new VirtualClock();
      const engine = new VirtualEngine(SPEC, clock);
      let events = 0;
      const work = {...createWork(5_000, 1, () => events++), helperEntries};
      assert.equal(engine.submit(work) !== undefined, isTaken);
      clock.runUntilIdle();
      assert.equal(events, isTaken ? 1 : 0);
    });
  }

  it('emits no event for cancelled work', () => {
    const clock = new VirtualClock();
    const engine = new VirtualEngine(SPEC, clock);
    let events = 0;
    const work = engine.submit(createWork(5_000, 3, () => events++));
    clock.schedule(5, () => work!.cancel());
    clock.runUntilIdle();
    assert.equal(events, 0);
  });
});
