import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {BackendRegistry, ReportReceiver, ReportVerdict} from '../src/index.js';
import type {ControlHost} from '../src/control_host.js';

const {Accepted, NotHeard, Unknown} = ReportVerdict;
const {Ready, Draining} = PresenceState;

/** What a control host knows of itself and its group. */
interface Situation {
  readonly name: string;
  readonly members?: readonly string[];
  readonly isCurrent?: boolean;
  readonly leaderSilentMs?: number;
  readonly isStopping?: boolean;
  readonly expected: ReportVerdict;
}

const SITUATIONS: readonly Situation[] = [
  {name: 'a member that follows a leader', expected: Accepted},
  {
    name: 'a host that the group has removed',
    members: ['b'],
    expected: NotHeard,
  },
  {
    name: 'a member that hears no leader',
    leaderSilentMs: 1_200,
    expected: NotHeard,
  },
  {
    name: 'a member that is behind its leader',
    isCurrent: false,
    expected: NotHeard,
  },
  {name: 'a member that stops', isStopping: true, expected: NotHeard},
];

const report: Presence = {
  id: 's',
  incarnation: 1,
  sequence: 1,
  state: Ready,
  service: 'notes',
  address: {host: '127.0.0.1', port: 1},
  failureDomain: 'fd',
  capacity: 4,
};

function createReceiver({
  members = ['a', 'b'],
  isCurrent = true,
  leaderSilentMs = 100,
  isStopping = false,
}: Partial<Situation>): {
  readonly receiver: ReportReceiver;
  readonly registry: BackendRegistry;
} {
  const status = {
    members: members.map(id => ({id})),
    isCurrent,
    leaderSilentMs,
  };
  const host = {self: {id: 'a'}, node: {status: () => status}};
  const registry = new BackendRegistry({heartbeatMs: 1_000});
  const leaving = isStopping
    ? AbortSignal.abort()
    : new AbortController().signal;
  const receiver = new ReportReceiver(
    host as unknown as ControlHost,
    registry,
    leaving,
  );
  return {receiver, registry};
}

// An acknowledgement that a backend server leaves means that entry hosts hear it.
describe('a report to a control host', () => {
  for (const {name, expected, ...situation} of SITUATIONS) {
    it(`of a server that drains is ${expected} by ${name}`, () => {
      const {receiver, registry} = createReceiver(situation);
      const verdict = receiver.receive({...report, state: Draining});
      assert.equal(verdict, expected);
      const [known] = registry.changesSince(registry.id, 0).reports;
      assert.equal(known?.state, Draining, 'those that poll this host hear it');
    });

    it(`of a server that is gone is ${expected} by ${name}`, () => {
      const {receiver} = createReceiver(situation);
      assert.equal(receiver.deregister('s', 1), expected);
    });

    it(`of a server that is ready is accepted by ${name}`, () => {
      assert.equal(
        createReceiver(situation).receiver.receive(report),
        Accepted,
      );
    });
  }

  it('of an unknown server without an incarnation is not acknowledged', () => {
    assert.equal(createReceiver({}).receiver.deregister('s'), Unknown);
  });
});
