import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Backend} from '../src/fleet/backend.js';
import {EnginePlacementPolicy} from '../src/placement/engine_placement_policy.js';
import type {PlacementDecision} from '../src/placement/placement_decision.js';
import {createBackends, createWork} from './create_backend.js';
import {createRoute, ENGINE} from './create_config.js';

interface PlaceOptions {
  readonly promptTokens: number;
  readonly answerTokens?: number;
  readonly goalMs?: number;
  readonly nowMs?: number;
  readonly limited?: ReadonlySet<Backend>;
  readonly maxHelperEntries?: number;
}

function place(
  backends: readonly Backend[],
  options: PlaceOptions,
): PlacementDecision | undefined {
  const {promptTokens, answerTokens = 500, goalMs = 300, nowMs = 0} = options;
  const {limited, maxHelperEntries = 16} = options;
  return new EnginePlacementPolicy('fd-a', () => 0).place({
    service: {
      name: 'notes',
      healthPath: '/',
      maxConnections: 10,
      engine: ENGINE,
    },
    route: createRoute({
      isStream: true,
      latencyGoalMs: goalMs,
      pauseGoalMs: 250,
    }),
    metadata: {
      requestId: 'r',
      promptTokens,
      expectedOutputTokens: answerTokens,
      maxOutputTokens: answerTokens,
    },
    candidates: backends,
    limited,
    maxHelperEntries,
    nowMs,
    waitedMs: 0,
  });
}

describe('EnginePlacementPolicy', () => {
  for (const {name, promptTokens} of [
    {name: 'a prompt that is split', promptTokens: 120_000},
    {name: 'a prompt beyond one memory', promptTokens: 1_100_000},
  ])
    it(`lets the engine with a request limit respond to ${name}`, () => {
      const backends = createBackends(6);
      for (const backend of backends) {
        const decision = place(backends, {
          promptTokens,
          limited: new Set([backend]),
        })!;
        const engines = [decision.backend, ...decision.helpers];
        assert.ok(engines.includes(backend), 'the engine takes part');
        assert.equal(decision.backend, backend);
      }
    });

  it('places a short prompt on one engine', () => {
    const decision = place(createBackends(4), {promptTokens: 1_000})!;
    assert.equal(decision.helpers.length, 0);
  });

  it('avoids an engine that processes a long prompt', () => {
    const backends = createBackends(2);
    backends[0]!.work.add('long', createWork({prefillMs: 400}), 0);
    const decision = place(backends, {promptTokens: 5_000})!;
    assert.equal(decision.backend, backends[1]);
  });

  it('splits a long prompt so that no stream misses its pause goal', () => {
    const backends = createBackends(16);
    for (const {work} of backends) {
      work.add('stream', createWork({decodeMs: 2_000}), 0);
      work.markPrefilled('stream', 0);
    }
    const decision = place(backends, {promptTokens: 133_000, goalMs: 3_000})!;
    const {prefillShareMs} = decision.prediction!;
    assert.ok(prefillShareMs + 45 < 250, `a share takes ${prefillShareMs} ms`);
  });

  it('keeps a long prompt away from the engines with streams', () => {
    const backends = createBackends(6);
    for (const {work} of backends.slice(0, 3)) {
      work.add('stream', createWork({decodeMs: 5_000, lossIfLate: 3}), 0);
      work.markPrefilled('stream', 0);
    }
    const decision = place(backends, {promptTokens: 133_000, goalMs: 3_000})!;
    const used = decision.work.map(({backend}) => backends.indexOf(backend));
    assert.ok(
      used.every(at => at >= 3),
      `used ${used.join()}`,
    );
  });

  it('packs short streams so that engines stay free for long prompts', () => {
    const backends = createBackends(8);
    for (let number = 0; number < 6; number++) {
      const decision = place(backends, {promptTokens: 2_000})!;
      for (const {backend, item} of decision.work) {
        backend.work.add(`note-${number}`, item, 0);
        backend.work.markPrefilled(`note-${number}`, 0);
      }
    }
    const used = backends.filter(({work}) => work.entries(0).length > 0);
    assert.ok(used.length <= 2, `streams on ${used.length} engines`);
  });

  it('splits a prompt that will be late in any case', () => {
    const decision = place(createBackends(16), {
      promptTokens: 200_000,
      goalMs: 100,
    })!;
    const {prefillShareMs} = decision.prediction!;
    assert.ok(prefillShareMs < 500, `a share takes ${prefillShareMs} ms`);
  });

  it('counts peer streams as started after their expected prefill', () => {
    const backends = createBackends(2);
    const stream = createWork({prefillMs: 20, decodeMs: 60_000, lossIfLate: 5});
    backends[0]!.work.addPeerWork('other', stream, 0);
    const decision = place(backends, {
      promptTokens: 60_000,
      goalMs: 3_000,
      nowMs: 5_000,
    })!;
    assert.equal(decision.backend, backends[1]);
  });

  const CONTEXTS = [
    {promptTokens: 200_000, engines: 16, reservations: 0},
    {promptTokens: 240_000, engines: 16, reservations: 2},
    {promptTokens: 600_000, engines: 16, reservations: 4},
    {promptTokens: 1_300_000, engines: 7, reservations: 7},
  ];
  for (const {promptTokens, engines, reservations} of CONTEXTS) {
    it(`reserves ${reservations} memory shares for ${promptTokens} tokens`, () => {
      const decision = place(createBackends(engines), {promptTokens})!;
      const reservedTokens = decision.memory.reduce(
        (sum, {tokens}) => sum + tokens,
        0,
      );
      assert.equal(decision.memory.length, reservations);
      if (reservations === 0) return;
      assert.ok(reservedTokens >= promptTokens + 500);
      assert.equal(decision.memory[0]!.backend, decision.backend);
      const workingBackends = decision.work.map(({backend}) => backend);
      for (const {backend, tokens} of decision.memory) {
        assert.ok(tokens <= ENGINE.memoryTokens);
        assert.ok(workingBackends.includes(backend));
      }
    });
  }

  // Streams without a goal run on each engine, so that a split costs little and
  // the longest prompts ask for as many engines as a plan may have.
  const SHARE_TOKENS = 0.85 * ENGINE.memoryTokens;
  for (const maxHelperEntries of [0, 1, 5, 15, 16, 17])
    for (const reservations of [0, 2, 5, 15, 16, 17, 18])
      for (const engines of [1, 2, 5, 15, 16, 17, 18, 24]) {
        const isPossible = reservations <= Math.min(engines, maxHelperEntries);
        const title = `${reservations} reservations, ${engines} engines and ${maxHelperEntries} entries`;
        it(`${isPossible ? 'makes' : 'does not make'} a plan of ${title}`, () => {
          const backends = createBackends(engines);
          for (const {work} of backends) {
            const stream = createWork({decodeMs: 60_000, lossIfLate: 0});
            work.add('stream', stream, 0);
            work.markPrefilled('stream', 0);
          }
          const decision = place(backends, {
            promptTokens:
              reservations > 0
                ? Math.floor((reservations - 0.5) * SHARE_TOKENS)
                : ENGINE.memoryTokens - 1_000,
            goalMs: 1,
            maxHelperEntries,
          });
          assert.equal(decision !== undefined, isPossible);
          if (!decision) return;
          assert.equal(decision.memory.length, reservations);
          const ownEntries = reservations > 0 ? 1 : 0;
          const entries = decision.helpers.length + ownEntries;
          assert.ok(entries <= maxHelperEntries, `${entries} entries`);
          if (engines > maxHelperEntries)
            assert.equal(entries, maxHelperEntries);
        });
      }

  for (const {promptTokens, answerTokens, engines} of [
    {promptTokens: 0, answerTokens: 300_000, engines: 2},
    {promptTokens: 1_000, answerTokens: 400_000, engines: 3},
    {promptTokens: 1_000, answerTokens: 1_300_000, engines: 7},
  ]) {
    it(`places a prompt of ${promptTokens} tokens whose output needs the memory of ${engines} engines`, () => {
      const backends = createBackends(8);
      const decision = place(backends, {promptTokens, answerTokens})!;
      assert.equal(decision.memory.length, engines);
      assert.equal(decision.helpers.length, engines - 1);
    });
  }

  it('places no context that exceeds the memory of all engines', () => {
    assert.equal(place(createBackends(2), {promptTokens: 900_000}), undefined);
  });
});
