import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BacklogAdmissionPolicy} from '../src/admission/backlog_admission_policy.js';

const GOAL_MS = 300;

const CASES = [
  {name: 'nothing is predicted', firstEventMs: undefined, isRefused: false},
  {name: 'the engines are idle', firstEventMs: 100, isRefused: false},
  {name: 'the goal will just be met', firstEventMs: 195, isRefused: false},
  {name: 'the backlog is too long', firstEventMs: 240, isRefused: true},
  {
    name: 'the prompt itself takes too long',
    firstEventMs: 700,
    idleFirstEventMs: 600,
    isRefused: false,
  },
  {
    name: 'the backlog is too long for a prompt that takes long itself',
    firstEventMs: 1_000,
    idleFirstEventMs: 600,
    isRefused: true,
  },
];

describe('BacklogAdmissionPolicy', () => {
  for (const {name, firstEventMs, idleFirstEventMs = 100, isRefused} of CASES) {
    it(`${isRefused ? 'refuses' : 'admits'} if ${name}`, () => {
      const policy = new BacklogAdmissionPolicy(() => 0.5);
      const prediction =
        firstEventMs === undefined
          ? undefined
          : {
              firstEventMs,
              idleFirstEventMs,
              prefillShareMs: 0,
              predictedLoss: 0,
            };
      const refusal = policy.refuse({latencyGoalMs: GOAL_MS, prediction});
      assert.equal(refusal !== undefined, isRefused);
    });
  }

  it('tells clients to return at times of their own, within bounds', () => {
    const prediction = {
      firstEventMs: 60_000,
      idleFirstEventMs: 100,
      prefillShareMs: 0,
      predictedLoss: 0,
    };
    const refuse = (random: number, firstEventMs: number) =>
      new BacklogAdmissionPolicy(() => random).refuse({
        latencyGoalMs: GOAL_MS,
        prediction: {...prediction, firstEventMs},
      })?.returnMs;
    assert.deepEqual(
      [refuse(0, 400), refuse(0.5, 400), refuse(0, 60_000)],
      [1_000, 1_500, 3_000],
    );
  });
});
