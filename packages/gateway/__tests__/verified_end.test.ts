import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState} from '@vanillamux/protocol';
import {ListenerState} from '../src/connection/listener_state.js';
import {BackendDestination} from '../src/request/backend_destination.js';
import {EndVerdict} from '../src/request/end_verdict.js';
import {Backend} from '../src/fleet/backend.js';
import {createPresence} from './create_backend.js';

const {Listening, Closed, Unclear} = ListenerState;
const {Whole, Unproven, Broken} = EndVerdict;

/** What a host knows of the server whose connection has ended. */
const SERVERS = [
  {name: 'is known', isLeaving: false},
  {name: 'is draining', isLeaving: true, state: PresenceState.Draining},
  {name: 'has said that it leaves', isLeaving: true, hasDeparted: true},
  {name: 'has been removed', isLeaving: true, isRemoved: true},
  {name: 'has a newer incarnation', isLeaving: true, isReplaced: true},
];

// A server that leaves stops to listen before its last responses end.
describe('the end of a body without a length', () => {
  for (const {name, isLeaving, ...server} of SERVERS) {
    for (const [listener, verdict] of [
      [Listening, Whole],
      [Unclear, Unproven],
      [Closed, isLeaving ? Unproven : Broken],
    ] as const) {
      it(`is ${verdict}: the listener of a server that ${name} is ${listener}`, async () => {
        const {state = PresenceState.Ready} = server;
        const backend = new Backend(createPresence({state}));
        const known = server.isReplaced
          ? new Backend(createPresence({incarnation: 2}))
          : backend;
        const counted: EndVerdict[] = [];
        const destination = new BackendDestination({
          components: {
            connections: {
              listenerState: (asked: Backend) => {
                assert.equal(asked, backend);
                return Promise.resolve(listener);
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
