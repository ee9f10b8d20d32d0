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
  {name: 'no event', events: [], isUnreachable: false},
  {
    name: 'connect timeouts of one backend server',
    events: [
      {backend: 'a', atMs: 0},
      {backend: 'a', atMs: 100},
    ],
    isUnreachable: false,
  },
  {
    name: 'connect timeouts of two backend servers',
    events: [
      {backend: 'a', atMs: 0},
      {backend: 'b', atMs: 100},
    ],
    isUnreachable: true,
  },
  {
    name: 'connect timeouts of two backend servers, one expired',
    events: [
      {backend: 'a', atMs: -3_000},
      {backend: 'b', atMs: 100},
    ],
    isUnreachable: false,
  },
  {
    name: 'connect timeouts and a later response',
    events: [{backend: 'a', atMs: 0}, {backend: 'b', atMs: 10}, {atMs: 20}],
    isUnreachable: false,
  },
];

describe('DomainReachability', () => {
  for (const {name, events, isUnreachable} of CASES) {
    it(`is ${isUnreachable ? '' : 'not '}unreachable after ${name}`, () => {
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
