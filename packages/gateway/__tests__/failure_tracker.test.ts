import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {FailureTracker} from '../src/fleet/failure_tracker.js';

type Step = (tracker: FailureTracker) => void;

const silence: Step = tracker => tracker.recordSilence(0);
const laterSilence: Step = tracker => tracker.recordSilence(500);
const progress: Step = tracker => tracker.recordProgress();
const failure: Step = tracker => tracker.eject(0);

const CASES = [
  {name: 'a silence', steps: [silence], atMs: 499, isEjected: true},
  {name: 'a silence', steps: [silence], atMs: 500, isEjected: false},
  {
    name: 'a silence that four requests notice',
    steps: [silence, silence, silence, silence],
    atMs: 500,
    isEjected: false,
  },
  {
    name: 'another silence without progress',
    steps: [silence, laterSilence],
    atMs: 1_499,
    isEjected: true,
  },
  {
    name: 'a silence that has ended',
    steps: [silence, progress],
    atMs: 1,
    isEjected: false,
  },
  {
    name: 'a failure beside a silence that has ended',
    steps: [failure, silence, progress],
    atMs: 1,
    isEjected: true,
  },
];

describe('FailureTracker', () => {
  for (const {name, steps, atMs, isEjected} of CASES) {
    it(`${isEjected ? 'avoids' : 'uses'} a backend server ${atMs} ms after ${name}`, () => {
      const tracker = new FailureTracker();
      for (const step of steps) step(tracker);
      assert.equal(tracker.isEjected(atMs), isEjected);
    });
  }

  it('counts a silence that several requests notice as one failure', () => {
    const [one, several] = [new FailureTracker(), new FailureTracker()];
    silence(one);
    for (let request = 0; request < 4; request++) silence(several);
    assert.equal(several.failureRate(0), one.failureRate(0));
  });
});
