import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {PermitIssuer} from '../src/request_limits/permit_issuer.js';

const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
const SEED = 23;
const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 100);

function createFact(perSecond: number) {
  return {backend: 'e1', incarnation: 1, generation: 1, perSecond};
}

/** Asks for a permit after each of the pauses. Returns when it was issued. */
function issueAll(perSecond: number, pausesMs: readonly number[]): number[] {
  let nowMs = 0;
  const issuer = new PermitIssuer(() => nowMs);
  const issuedMs: number[] = [];
  for (const pauseMs of pausesMs) {
    nowMs += pauseMs;
    if (issuer.issue(createFact(perSecond)) === 0) issuedMs.push(nowMs);
  }
  return issuedMs;
}

describe('PermitIssuer', () => {
  it('issues no more than the limit allows in any window, and one more', () => {
    fc.assert(
      fc.property(
        fc.double({min: 0.2, max: 50, noNaN: true}),
        fc.array(fc.integer({min: 0, max: 900}), {maxLength: 400}),
        (perSecond, pausesMs) => {
          const issuedMs = issueAll(perSecond, pausesMs);
          for (const startMs of issuedMs) {
            const count = issuedMs.filter(
              atMs => atMs >= startMs && atMs < startMs + WINDOW_MS,
            ).length;
            assert.ok(count <= (perSecond * WINDOW_MS) / MS_PER_SECOND + 1);
          }
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  const USE_CASES = [
    {perSecond: 0, everyMs: 100, forS: 60, least: 5},
    {perSecond: 1, everyMs: 100, forS: 60, least: 45},
    {perSecond: 8, everyMs: 20, forS: 10, least: 60},
  ];
  for (const {perSecond, everyMs, forS, least} of USE_CASES) {
    it(`issues at least ${least} in ${forS} s at a limit of ${perSecond} a second`, () => {
      const requests = (forS * MS_PER_SECOND) / everyMs;
      const pausesMs = Array.from({length: requests}, () => everyMs);
      assert.ok(issueAll(perSecond, pausesMs).length >= least);
    });
  }

  it('gains no permit from a limit that changes', () => {
    let nowMs = 0;
    const issuer = new PermitIssuer(() => nowMs);
    let issued = 0;
    for (; nowMs < WINDOW_MS; nowMs += 10) {
      const perSecond = 1 + (nowMs % 30) / 100;
      if (issuer.issue(createFact(perSecond)) === 0) issued++;
    }
    assert.ok(issued <= 5, `issued ${issued}`);
  });

  it('names the time at which a permit is due', () => {
    let nowMs = 0;
    const issuer = new PermitIssuer(() => nowMs);
    const waitMs = issuer.issue(createFact(2));
    assert.ok(waitMs > 0);
    nowMs += waitMs;
    assert.equal(issuer.issue(createFact(2)), 0);
  });
});
