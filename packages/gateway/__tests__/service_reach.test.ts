import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServiceReach} from '../src/reach/service_reach.js';

const SERVICE = 'notes';

interface Step {
  readonly fails?: string;
  readonly responds?: string;
  readonly atMs: number;
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly backends: number;
  readonly steps: readonly Step[];
  readonly isLost: boolean;
}> = [
  {
    name: 'three servers in a row',
    backends: 18,
    steps: ['a', 'b', 'c'].map(fails => ({fails, atMs: 0})),
    isLost: true,
  },
  {
    name: 'one server again and again',
    backends: 18,
    steps: ['a', 'a', 'a', 'a'].map(fails => ({fails, atMs: 0})),
    isLost: false,
  },
  {
    name: 'three servers with a response in between',
    backends: 18,
    steps: [
      {fails: 'a', atMs: 0},
      {fails: 'b', atMs: 1},
      {responds: 'd', atMs: 2},
      {fails: 'c', atMs: 3},
    ],
    isLost: false,
  },
  {
    name: 'both servers of a small service',
    backends: 2,
    steps: ['a', 'b'].map(fails => ({fails, atMs: 0})),
    isLost: true,
  },
  {
    name: 'three servers over a long time',
    backends: 18,
    steps: ['a', 'b', 'c'].map((fails, index) => ({
      fails,
      atMs: index * 4_000,
    })),
    isLost: false,
  },
  {
    name: 'three servers, of which one responds later',
    backends: 18,
    steps: [
      ...['a', 'b', 'c'].map(fails => ({fails, atMs: 0})),
      {responds: 'a', atMs: 100},
    ],
    isLost: false,
  },
];

describe('a host whose requests fail at', () => {
  for (const {name, backends, steps, isLost} of CASES) {
    it(`${name} ${isLost ? 'has' : 'has not'} lost the service`, () => {
      const reach = new ServiceReach();
      for (const {fails, responds, atMs} of steps) {
        if (fails) reach.recordFailure(SERVICE, fails, backends, atMs);
        if (responds) reach.recordContact(SERVICE, responds, atMs);
      }
      assert.equal(reach.isLost(SERVICE), isLost);
      assert.equal(reach.isLost('another service'), false);
      assert.equal(reach.isConfirmedLost(SERVICE), false);
      reach.confirmLoss(SERVICE);
      assert.equal(reach.isConfirmedLost(SERVICE), isLost);
    });
  }
});
