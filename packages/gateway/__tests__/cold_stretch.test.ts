import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState} from '@vanillamux/protocol';
import {ColdPace} from '../src/cold_backends/cold_pace.js';
import {ColdStretch} from '../src/cold_backends/cold_stretch.js';
import {stretchByCold} from '../src/cold_backends/stretch_by_cold.js';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {EngineCostModel} from '../src/placement/engine_cost_model.js';
import {observePace} from '../src/placement/observe_pace.js';
import {
  createBackends,
  createPresence,
  createWork,
  reported,
} from './create_backend.js';
import {ENGINE} from './create_config.js';

describe('ColdStretch', () => {
  const CASES: ReadonlyArray<{
    readonly name: string;
    /** Sequence, time left and time of each report. */
    readonly reports: ReadonlyArray<readonly [number, number, number]>;
    readonly leftMs: number;
  }> = [
    {name: 'counts down', reports: [[1, 3_000, 0]], leftMs: 2_000},
    {
      name: 'is ended by a later report',
      reports: [
        [1, 3_000, 0],
        [2, 0, 500],
      ],
      leftMs: 0,
    },
    {
      name: 'begins again',
      reports: [
        [1, 0, 0],
        [2, 3_000, 900],
      ],
      leftMs: 2_900,
    },
    {
      name: 'is not prolonged by an older report',
      reports: [
        [2, 1_500, 0],
        [1, 3_000, 900],
      ],
      leftMs: 500,
    },
    {
      name: 'is not prolonged by the same report',
      reports: [
        [2, 1_500, 0],
        [2, 1_500, 900],
      ],
      leftMs: 500,
    },
  ];
  for (const {name, reports, leftMs} of CASES)
    it(name, () => {
      const stretch = new ColdStretch();
      for (const [sequence, forMs, nowMs] of reports)
        stretch.record(sequence, forMs, nowMs);
      assert.equal(stretch.leftMs(1_000), leftMs);
      assert.equal(stretch.isCold(1_000), leftMs > 0);
    });
});

describe('BackendPool with a cold backend server', () => {
  it('knows it from the first report, and its end by the time alone', () => {
    let nowMs = 0;
    const pool = new BackendPool(() => nowMs);
    const {Silent} = PresenceState;
    pool.apply(reported(createPresence({id: 'e', coldForMs: 3_000})));
    const {cold} = pool.get('e')!;
    nowMs = 2_000;
    // A control host that no longer hears it repeats its last report.
    pool.apply(
      reported(createPresence({id: 'e', state: Silent, coldForMs: 3_000})),
    );
    assert.equal(cold.leftMs(nowMs), 1_000);
    nowMs = 3_000;
    assert.equal(cold.isCold(nowMs), false);
  });

  it('reads reports of control hosts of an earlier version as not cold', () => {
    const pool = new BackendPool(() => 0);
    pool.apply(reported(createPresence({id: 'e'})));
    assert.equal(pool.get('e')!.cold.isCold(0), false);
  });
});

describe('the cost model of a cold engine', () => {
  it('stretches work by the factor while it lasts, and by no more', () => {
    const CASES = [
      {ms: 100, factor: 1, leftMs: 0, expected: 100},
      {ms: 100, factor: 2, leftMs: 1_000, expected: 200},
      {ms: 100, factor: 2, leftMs: 100, expected: 150},
      {ms: 100, factor: 4, leftMs: 1, expected: 100.75},
    ];
    for (const {ms, factor, leftMs, expected} of CASES)
      assert.equal(stretchByCold(ms, {factor, leftMs}), expected);
  });

  it('predicts times that fall to the usual ones without a step', () => {
    const [backend] = createBackends(1);
    backend!.work.add('w', createWork({prefillMs: 30, decodeMs: 10_000}), 0);
    const usualMs = new EngineCostModel(
      backend!,
      ENGINE,
      0,
    ).predictedFirstEventMs(200);
    backend!.cold.record(1, 3_000, 0);
    let beforeMs = Infinity;
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 10) {
      // The work itself is taken as at the begin.
      const model = new EngineCostModel(backend!, ENGINE, 0);
      const ms = model.predictedFirstEventMs(200);
      backend!.cold.recordResponse(3_000 - nowMs, 0);
      assert.ok(ms <= beforeMs, 'longer than before');
      assert.ok(beforeMs === Infinity || beforeMs - ms <= 10, 'a step');
      beforeMs = ms;
    }
    const lastMs = new EngineCostModel(
      backend!,
      ENGINE,
      0,
    ).predictedFirstEventMs(200);
    assert.equal(lastMs, usualMs);
  });

  for (const {name, slowness} of [
    {name: 'not slow at all', slowness: 1},
    {name: 'four times as slow', slowness: 4},
  ])
    it(`learns from one stream that cold engines are ${name}, for all of them`, () => {
      const pool = new BackendPool(() => 0);
      for (const id of ['a', 'b'])
        pool.apply(reported(createPresence({id, coldForMs: 3_000})));
      const [a, b] = [pool.get('a')!, pool.get('b')!];
      a.work.add('w', createWork({decodeMs: 3_000}), 0);
      const iterationMs =
        ENGINE.stepsPerPass * (ENGINE.stepMs + ENGINE.stepMsPerSequence);
      for (let event = 0; event < 33; event++)
        observePace(a, ENGINE, {pauseMs: slowness * iterationMs, nowMs: 0});
      assert.ok(Math.abs(b.coldSlowdown(0).factor - slowness) < 0.05);
    });

  it('takes a cold engine for slower before any was observed', () => {
    assert.ok(new ColdPace().factor > 1);
  });
});
