import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  PresenceState,
  presenceSchema,
  type Presence,
} from '@vanillamux/protocol';
import {BackendRegistry} from '../src/index.js';

const HEARTBEAT_MS = 1_000;

function heartbeat(sequence: number, fields: Partial<Presence> = {}): Presence {
  return {
    id: 'a',
    incarnation: 10,
    sequence,
    state: PresenceState.Ready,
    service: 'notes',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'fd-a',
    capacity: 4,
    ...fields,
  };
}

describe('BackendRegistry', () => {
  function createRegistry(): {
    registry: BackendRegistry;
    advance: (ms: number) => void;
  } {
    let nowMs = 0;
    const registry = new BackendRegistry({
      heartbeatMs: HEARTBEAT_MS,
      now: () => nowMs,
    });
    return {registry, advance: ms => (nowMs += ms)};
  }

  it('returns only the reports that changed after a position', () => {
    const {registry} = createRegistry();
    registry.receive(heartbeat(1));
    const first = registry.changesSince('', 0);
    registry.receive(heartbeat(1, {id: 'b', address: {host: 'b', port: 1}}));
    const second = registry.changesSince(first.registryId, first.position);
    assert.deepEqual(
      second.reports.map(({id}) => id),
      ['b'],
    );
  });

  it('returns all reports for a position of another registry', () => {
    const {registry} = createRegistry();
    registry.receive(heartbeat(1));
    assert.equal(registry.changesSince('other', 99).reports.length, 1);
  });

  it('returns an unchanged heartbeat only after a silence', () => {
    const {registry, advance} = createRegistry();
    registry.receive(heartbeat(1));
    const {registryId, position} = registry.changesSince('', 0);
    advance(HEARTBEAT_MS);
    registry.receive(heartbeat(2));
    assert.equal(registry.changesSince(registryId, position).reports.length, 0);
    advance(3 * HEARTBEAT_MS);
    registry.receive(heartbeat(3));
    assert.equal(registry.changesSince(registryId, position).reports.length, 1);
  });

  const COLD_CASES: ReadonlyArray<{
    readonly name: string;
    readonly beforeMs?: number;
    readonly afterMs?: number;
    readonly isNews: boolean;
  }> = [
    {
      name: 'is as cold as expected',
      beforeMs: 3_000,
      afterMs: 2_000,
      isNews: false,
    },
    {name: 'becomes cold', afterMs: 3_000, isNews: true},
    {name: 'becomes cold again', beforeMs: 500, afterMs: 3_000, isNews: true},
    {name: 'is cold for longer', beforeMs: 3_000, afterMs: 3_000, isNews: true},
    {name: 'is not cold any more', beforeMs: 3_000, isNews: true},
    {name: 'was cold until now', beforeMs: 1_000, isNews: false},
  ];
  for (const {name, beforeMs, afterMs, isNews} of COLD_CASES)
    it(`${isNews ? 'wakes' : 'does not wake'} polls for one that ${name}`, () => {
      const {registry, advance} = createRegistry();
      registry.receive(heartbeat(1, {coldForMs: beforeMs}));
      const {registryId, position} = registry.changesSince('', 0);
      advance(HEARTBEAT_MS);
      registry.receive(heartbeat(2, {coldForMs: afterMs}));
      const {reports} = registry.changesSince(registryId, position);
      assert.equal(reports.length, Number(isNews));
    });

  it('reports what is left of a cold stretch', () => {
    const {registry, advance} = createRegistry();
    registry.receive(heartbeat(1, {coldForMs: 3_000}));
    for (const leftMs of [3_000, 2_000, 1_000, 0, 0]) {
      const [report] = registry.changesSince('', 0).reports;
      assert.equal(report?.coldForMs, leftMs);
      assert.ok(presenceSchema.safeParse(report).success);
      advance(HEARTBEAT_MS);
    }
  });

  const LEAVE_CASES: Array<{
    readonly name: string;
    readonly incarnation?: number;
    readonly state: PresenceState;
  }> = [
    {name: 'without an incarnation', state: PresenceState.Gone},
    {
      name: 'of the known incarnation',
      incarnation: 10,
      state: PresenceState.Gone,
    },
    {
      name: 'of an earlier incarnation',
      incarnation: 9,
      state: PresenceState.Ready,
    },
  ];
  for (const {name, incarnation, state} of LEAVE_CASES) {
    it(`handles a deregistration ${name}`, () => {
      const {registry} = createRegistry();
      registry.receive(heartbeat(1));
      registry.deregister('a', incarnation);
      assert.equal(registry.changesSince('', 0).reports[0]?.state, state);
    });
  }

  it('passes on the deregistration of a backend server that it does not know', () => {
    const {registry} = createRegistry();
    assert.ok(registry.deregister('a', 10));
    const [report] = registry.changesSince('', 0).reports;
    assert.equal(report?.state, PresenceState.Gone);
    assert.equal(report?.incarnation, 10);
    assert.ok(presenceSchema.safeParse(report).success);
  });

  it('does not acknowledge a deregistration that names nothing known', () => {
    const {registry} = createRegistry();
    assert.equal(registry.deregister('a'), false);
    assert.equal(registry.changesSince('', 0).reports.length, 0);
  });

  const SILENCE_CASES = [
    {heartbeats: 3, state: PresenceState.Ready},
    {heartbeats: 5, state: PresenceState.Silent},
    {heartbeats: 51, state: PresenceState.Silent},
    {heartbeats: 101, state: undefined},
  ];
  for (const {heartbeats, state} of SILENCE_CASES) {
    it(`reports ${state ?? 'nothing'} after ${heartbeats} missed heartbeats`, () => {
      const {registry, advance} = createRegistry();
      registry.receive(heartbeat(1));
      advance(heartbeats * HEARTBEAT_MS);
      registry.expire();
      assert.equal(registry.changesSince('', 0).reports[0]?.state, state);
    });
  }
});
