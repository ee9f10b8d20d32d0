import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {monotonicMs, sleep} from '@vanillamux/shared';
import type {Backend} from '../src/fleet/backend.js';
import {ReachProber} from '../src/reach/reach_prober.js';
import {ServiceReach} from '../src/reach/service_reach.js';
import {createBackends} from './create_backend.js';

const SERVICE = 'notes';
const OTHER = 'claims';
/** Long enough for probes that end at once. */
const SETTLE_MS = 50;

const CASES: ReadonlyArray<{
  readonly name: string;
  /** Backend servers that accept connections. */
  readonly accepting: readonly string[];
  readonly servers?: number;
  readonly failures?: number;
  readonly hadContact?: boolean;
  readonly lost: readonly string[];
}> = [
  {
    name: 'after one failure, if no server accepts a connection',
    accepting: [],
    lost: [SERVICE, OTHER],
  },
  {
    name: 'together with another one that it does not reach either',
    accepting: [],
    failures: 3,
    lost: [SERVICE, OTHER],
  },
  {
    name: 'not after one failure, if the servers accept connections',
    accepting: ['a', 'b', 'c', 'd'],
    lost: [],
  },
  {
    name: 'not after one failure, if one of three servers accepts connections',
    accepting: ['b'],
    servers: 3,
    lost: [],
  },
  {
    name: 'not after one failure and a response just before',
    accepting: [],
    hadContact: true,
    lost: [],
  },
];

describe('a host with few requests has lost a service', () => {
  for (const {name, accepting, servers = 4, ...row} of CASES) {
    it(name, async () => {
      const reach = new ServiceReach();
      const backends = createBackends(servers);
      const ids = ['a', 'b', 'c', 'd'];
      const prober = new ReachProber({
        reach,
        backends: {
          candidates: () => backends,
          services: () => [SERVICE, OTHER],
        },
        connections: {
          probe: async (backend: Backend) =>
            accepting.includes(ids[backends.indexOf(backend)]!),
        },
      });
      await sleep(0);
      if (row.hadContact) reach.recordContact(SERVICE, 'x', monotonicMs());
      for (let index = 0; index < (row.failures ?? 1); index++) {
        const {id} = backends[index]!.presence;
        reach.recordFailure(SERVICE, id, servers, monotonicMs());
      }
      await sleep(SETTLE_MS);
      assert.deepEqual(reach.lostServices(), row.lost);
      prober.stop();
    });
  }
});
