import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  chooseOwner,
  planGang,
  KvReservationManager,
  type BackendView,
} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_203};
const MEMORY_TOKENS = 1_000;

const actions = fc.array(
  fc.record({
    kind: fc.constantFrom('reserve', 'release', 'wait'),
    backend: fc.nat(2),
    holder: fc.nat(5),
    tokens: fc.integer({min: 1, max: 700}),
    waitMs: fc.nat(80),
  }),
  {maxLength: 80},
);

describe('reservations of engine memory', () => {
  it('never exceed the memory and always end', () => {
    fc.assert(
      fc.property(actions, plan => {
        let nowMs = 0;
        const manager = new KvReservationManager(
          () => MEMORY_TOKENS,
          () => nowMs,
        );
        for (const {kind, backend, holder, tokens, waitMs} of plan) {
          const backendId = `b${backend}`;
          if (kind === 'wait') nowMs += waitMs;
          else if (kind === 'release') manager.release(backendId, `h${holder}`);
          else {
            manager.reserve({
              backendId,
              holder: `h${holder}`,
              tokens,
              leaseMs: 50,
            });
          }
          for (const id of ['b0', 'b1', 'b2']) {
            assert.ok(manager.reservedTokens(id) <= MEMORY_TOKENS);
          }
        }
        nowMs += 50;
        for (const id of ['b0', 'b1', 'b2'])
          assert.equal(manager.reservedTokens(id), 0);
      }),
      property,
    );
  });

  it('of gangs under any interleaving end with every gang served', () => {
    fc.assert(
      fc.property(fc.infiniteStream(fc.nat(2)), schedule => {
        const manager = new KvReservationManager(() => MEMORY_TOKENS);
        const engines = ['b0', 'b1', 'b2'];
        // Three gangs of which any two are too large for the engines.
        const pendingGangs = new Map([0, 1, 2].map(gang => [gang, 0]));
        const reservedEngines = new Map<number, string[]>();
        let steps = 0;
        while (pendingGangs.size > 0) {
          assert.ok(++steps < 1_000, 'gangs wait for each other');
          const gang = schedule.next().value as number;
          if (!pendingGangs.has(gang)) continue;
          const engineIndex = pendingGangs.get(gang)!;
          const backendId = engines[engineIndex]!;
          const ownEngines = reservedEngines.get(gang) ?? [];
          const granted = manager.reserve({
            backendId,
            holder: `g${gang}`,
            tokens: 600,
            leaseMs: 60_000,
          });
          if (granted && engineIndex < engines.length - 1) {
            reservedEngines.set(gang, [...ownEngines, backendId]);
            pendingGangs.set(gang, engineIndex + 1);
            continue;
          }
          // Refused, or served: either way it gives everything back.
          for (const id of [...ownEngines, backendId])
            manager.release(id, `g${gang}`);
          reservedEngines.delete(gang);
          if (granted) pendingGangs.delete(gang);
          else pendingGangs.set(gang, 0);
        }
        for (const id of engines) assert.equal(manager.reservedTokens(id), 0);
      }),
      property,
    );
  });

  it('move only the keys of a host that goes away', () => {
    const hosts = ['e1', 'e2', 'e3', 'e4'];
    const keys = Array.from({length: 200}, (_, index) => `engine-${index}`);
    const remaining = hosts.filter(host => host !== 'e2');
    for (const key of keys) {
      const before = chooseOwner(key, hosts);
      const after = chooseOwner(key, remaining);
      if (before !== 'e2') assert.equal(after, before);
    }
    const owned = keys.filter(key => chooseOwner(key, hosts) === 'e1').length;
    assert.ok(owned > 20 && owned < 90, `${owned} of 200`);
  });
});

function createView(
  id: string,
  freeTokens: number,
  isLocal = true,
): BackendView {
  return {
    id,
    incarnation: 1,
    address: {host: '127.0.0.1', port: 1},
    failureDomain: isLocal ? 'fd-a' : 'fd-b',
    isLocal,
    memoryTokens: 450_000,
    prefillTokensPerSecond: 40_000,
    decodeStepMs: 8,
    chunkTokens: 2_048,
    prefillByPriority: [],
    runningStreams: 0,
    freeTokens,
    ownRequests: 0,
  };
}

describe('plans of gangs', () => {
  it('cover the whole prompt and fit every engine', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 2_000_000}),
        fc.integer({min: 1, max: 4_000}),
        fc.array(fc.nat(450_000), {maxLength: 8}),
        (promptTokens, maxTokens, free) => {
          const views = free.map((tokens, index) =>
            createView(`b${index}`, tokens, index % 2 === 0),
          );
          const shares = planGang(promptTokens, maxTokens, views);
          if (!shares) {
            const usable = free.reduce((sum, item) => sum + item * 0.95, 0);
            assert.ok(usable < promptTokens + maxTokens + free.length);
            return;
          }
          let nextToken = 0;
          shares.forEach((share, index) => {
            assert.equal(share.importTokens, nextToken);
            nextToken += share.promptTokens;
            const isLast = index === shares.length - 1;
            const needed = share.promptTokens + (isLast ? maxTokens : 0);
            assert.ok(needed <= share.backend.freeTokens);
            assert.ok(share.promptTokens >= 0);
          });
          assert.equal(nextToken, promptTokens);
        },
      ),
      property,
    );
  });
});
