import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState} from '@vanillamux/protocol';
import {ListenerState} from '../src/connection/listener_state.js';
import {BackendDestination} from '../src/request/backend_destination.js';
import {EndVerdict} from '../src/request/end_verdict.js';
import {Backend} from '../src/fleet/backend.js';
import {createPresence} from './create_backend.js';

const {Listening, Closed, Replaced, Unclear} = ListenerState;
const {Whole, Unproven, Broken} = EndVerdict;

/** What a host knows of the server whose connection has ended. */
const SERVERS = [
  {name: 'is known', closed: Broken, replaced: Broken},
  {
    name: 'is draining',
    state: PresenceState.Draining,
    closed: Unproven,
    replaced: Unproven,
  },
  {
    name: 'has said that it leaves',
    hasDeparted: true,
    closed: Unproven,
    replaced: Unproven,
  },
  {
    name: 'has been removed',
    isRemoved: true,
    closed: Unproven,
    replaced: Broken,
  },
  {
    name: 'has a newer incarnation',
    isReplaced: true,
    closed: Broken,
    replaced: Broken,
  },
];

// A server that leaves stops to listen before its last responses end.
describe('the end of a body without a length', () => {
  for (const {name, closed, replaced, ...server} of SERVERS) {
    for (const [listener, verdict, isEarlier] of [
      [Listening, Whole],
      [Unclear, Unproven],
      [Closed, closed],
      [Replaced, replaced],
      [Replaced, Whole, true],
    ] as const) {
      const since = isEarlier ? ' since before the request' : '';
      it(`is ${verdict}: the listener of a server that ${name} is ${listener}${since}`, async () => {
        const {state = PresenceState.Ready} = server;
        const backend = new Backend(createPresence({state}));
        const known = server.isReplaced
          ? new Backend(createPresence({incarnation: 2}))
          : backend;
        const counted: EndVerdict[] = [];
        const destination = new BackendDestination({
          components: {
            processChecks: {
              check: (asked: Backend) => {
                assert.equal(asked, backend);
                const startedAtMs = isEarlier ? 0 : undefined;
                return Promise.resolve({state: listener, startedAtMs});
              },
            },
            backends: {
              departures: {has: () => server.hasDeparted ?? false},
              get: () => (server.isRemoved ? undefined : known),
            },
            metrics: {
              countVerifiedEnd: (_service: string, counts: EndVerdict) =>
                counted.push(counts),
            },
          },
          decision: {backend},
        } as unknown as ConstructorParameters<typeof BackendDestination>[0]);
        assert.equal(await destination.verifyEnd(), verdict);
        assert.deepEqual(counted, [verdict]);
      });
    }
  }
});
