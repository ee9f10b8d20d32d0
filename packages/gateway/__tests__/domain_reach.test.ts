import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DomainReach} from '../src/fleet/domain_reach.js';

interface Sign {
  readonly backend?: string;
  readonly atMs: number;
}

const CASES: Array<{
  readonly name: string;
  readonly signs: readonly Sign[];
  readonly isSuspect: boolean;
}> = [
  {name: 'no sign', signs: [], isSuspect: false},
  {
    name: 'one backend server alone',
    signs: [
      {backend: 'a', atMs: 0},
      {backend: 'a', atMs: 100},
    ],
    isSuspect: false,
  },
  {
    name: 'two backend servers',
    signs: [
      {backend: 'a', atMs: 0},
      {backend: 'b', atMs: 100},
    ],
    isSuspect: true,
  },
  {
    name: 'two backend servers long ago',
    signs: [
      {backend: 'a', atMs: -3_000},
      {backend: 'b', atMs: 100},
    ],
    isSuspect: false,
  },
  {
    name: 'an answer since',
    signs: [{backend: 'a', atMs: 0}, {backend: 'b', atMs: 10}, {atMs: 20}],
    isSuspect: false,
  },
];

describe('DomainReach', () => {
  for (const {name, signs, isSuspect} of CASES) {
    it(`is ${isSuspect ? '' : 'not '}suspicious after ${name}`, () => {
      const reach = new DomainReach();
      for (const {backend, atMs} of signs) {
        if (backend) reach.noteUnreachable('fd-a', backend, atMs);
        else reach.noteReached('fd-a');
      }
      assert.equal(reach.isSuspect('fd-a', 500), isSuspect);
      assert.equal(reach.isSuspect('fd-b', 500), false);
    });
  }
});
