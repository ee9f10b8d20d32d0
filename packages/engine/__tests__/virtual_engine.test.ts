import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualClock, VirtualEngine, type VirtualWork} from '../src/index.js';

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

/** A whole prompt whose answer has `events` groups of tokens. */
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
  // From tokens over the rate and pairs alone to some steps beside them.
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

  it('holds up a stream while a long prompt is processed beside it', () => {
    const clock = new VirtualClock();
    const engine = new VirtualEngine(SPEC, clock);
    const eventTimesMs: number[] = [];
    engine.submit(createWork(1_000, 20, () => eventTimesMs.push(clock.nowMs)));
    clock.schedule(200, () => engine.submit(createWork(45_000, 1, () => {})));
    clock.runUntilIdle();
    const pauses = eventTimesMs
      .slice(1)
      .map((atMs, at) => atMs - eventTimesMs[at]!);
    assert.ok(Math.min(...pauses) < 50, 'a pass without prompts');
    assert.ok(Math.max(...pauses) > 358, 'the pass that has the prompt');
  });

  it('makes work wait when the batch is full', () => {
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

  it('begins a joint prompt after its last part', () => {
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
        ownWork.completeRemoteShare();
      },
    });
    clock.runUntilIdle();
    assert.ok(
      remoteShareMs > 300 && firstMs! >= remoteShareMs,
      `${remoteShareMs}, ${firstMs}`,
    );
  });

  it('sets memory aside only where there is room', () => {
    const engine = new VirtualEngine(SPEC, new VirtualClock());
    assert.equal(engine.reserve(200_000), true);
    assert.equal(engine.reserve(100_000), false);
    engine.release(200_000);
    assert.equal(engine.reserve(100_000), true);
  });

  it('ends cancelled work without an event', () => {
    const clock = new VirtualClock();
    const engine = new VirtualEngine(SPEC, clock);
    let events = 0;
    const work = engine.submit(createWork(5_000, 3, () => events++));
    clock.schedule(5, () => work.cancel());
    clock.runUntilIdle();
    assert.equal(events, 0);
  });
});
