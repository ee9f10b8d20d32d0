import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DomainReachability} from '../src/fleet/domain_reachability.js';

interface ConnectionEvent {
  readonly backend?: string;
  readonly atMs: number;
}

const CASES: Array<{
  readonly name: string;
  readonly events: readonly ConnectionEvent[];
  readonly isUnreachable: boolean;
}> = [
  {name: 'no sign', events: [], isUnreachable: false},
  {
    name: 'one backend server alone',
    events: [
      {backend: 'a', atMs: 0},
      {backend: 'a', atMs: 100},
    ],
    isUnreachable: false,
  },
  {
    name: 'two backend servers',
    events: [
      {backend: 'a', atMs: 0},
      {backend: 'b', atMs: 100},
    ],
    isUnreachable: true,
  },
  {
    name: 'two backend servers long ago',
    events: [
      {backend: 'a', atMs: -3_000},
      {backend: 'b', atMs: 100},
    ],
    isUnreachable: false,
  },
  {
    name: 'an answer since',
    events: [{backend: 'a', atMs: 0}, {backend: 'b', atMs: 10}, {atMs: 20}],
    isUnreachable: false,
  },
];

describe('DomainReach', () => {
  for (const {name, events: events, isUnreachable: isUnreachable} of CASES) {
    it(`is ${isUnreachable ? '' : 'not '}suspicious after ${name}`, () => {
      const reachability = new DomainReachability();
      for (const {backend, atMs} of events) {
        if (backend) reachability.recordConnectTimeout('fd-a', backend, atMs);
        else reachability.recordResponse('fd-a');
      }
      assert.equal(reachability.isUnreachable('fd-a', 500), isUnreachable);
      assert.equal(reachability.isUnreachable('fd-b', 500), false);
    });
  }
});
