import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  BackendKind,
  BackendState,
  type Announcement,
} from '@vanillamux/protocol';
import fc from 'fast-check';
import {BackendTable} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_203};
const LEASE_MS = 1_000;

function createAnnouncement(
  incarnation: number,
  sequence: number,
  state = BackendState.Ready,
): Announcement {
  return {
    id: 'engine-1',
    incarnation,
    sequence,
    kind: BackendKind.Model,
    address: {host: '127.0.0.1', port: 1},
    failureDomain: 'fd-a',
    models: ['m'],
    memoryTokens: 1_000,
    prefillTokensPerSecond: 1_000,
    decodeStepMs: 1,
    chunkTokens: 100,
    state,
    leaseMs: LEASE_MS,
    load: {queuedPrefillTokens: 0, runningStreams: 0, freeTokens: 0},
    cache: {stored: [], evicted: []},
  };
}

describe('the table of backend servers', () => {
  it('ends in the newest state whatever the order and repetition', () => {
    const item = fc.record({
      incarnation: fc.nat(2),
      sequence: fc.nat(5),
    });
    fc.assert(
      fc.property(fc.array(item, {minLength: 1, maxLength: 30}), items => {
        const table = new BackendTable(() => 0);
        for (const {incarnation, sequence} of items) {
          table.apply(createAnnouncement(incarnation, sequence));
        }
        const newest = items
          .slice()
          .sort(
            (a, b) => b.incarnation - a.incarnation || b.sequence - a.sequence,
          )[0]!;
        const {announcement} = table.get('engine-1')!;
        assert.equal(announcement.incarnation, newest.incarnation);
        assert.equal(announcement.sequence, newest.sequence);
      }),
      property,
    );
  });

  for (const {name, announcements: announcements, state} of [
    {
      name: 'keeps leaving against a late ready',
      announcements: [
        createAnnouncement(1, 5, BackendState.Leaving),
        createAnnouncement(1, 4),
      ],
      state: BackendState.Leaving,
    },
    {
      name: 'keeps leaving against a later ready of the same life',
      announcements: [
        createAnnouncement(1, 5, BackendState.Leaving),
        createAnnouncement(1, 6),
      ],
      state: BackendState.Leaving,
    },
    {
      name: 'takes a restarted backend server as ready',
      announcements: [
        createAnnouncement(1, 5, BackendState.Leaving),
        createAnnouncement(2, 0),
      ],
      state: BackendState.Ready,
    },
  ]) {
    it(name, () => {
      const table = new BackendTable(() => 0);
      for (const announcement of announcements) table.apply(announcement);
      assert.equal(table.get('engine-1')?.announcement.state, state);
    });
  }

  it('drops a backend server after its lease, and late news of it', () => {
    let nowMs = 0;
    const table = new BackendTable(() => nowMs);
    table.apply(createAnnouncement(1, 5));
    nowMs = LEASE_MS - 1;
    assert.ok(table.get('engine-1'));
    nowMs = LEASE_MS;
    assert.equal(table.get('engine-1'), undefined);
    table.expire();
    assert.equal(table.apply(createAnnouncement(1, 5), 0), false);
    assert.equal(table.list().length, 0);
    assert.equal(table.apply(createAnnouncement(2, 0)), true);
  });

  it('does not extend a lease by passing it on', () => {
    const table = new BackendTable(() => 0);
    assert.equal(table.apply(createAnnouncement(1, 1), LEASE_MS), false);
    assert.equal(table.apply(createAnnouncement(1, 1), LEASE_MS - 1), true);
    assert.equal(table.get('engine-1')?.leaseExpiresMs, 1);
  });
});
