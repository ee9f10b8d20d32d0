import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {EventBus} from '@vanillamux/shared';
import type {PeerNotices} from '../src/peers/peer_notices.js';
import {QuarantineManager} from '../src/quarantine/quarantine_manager.js';
import type {QuarantineNotice} from '../src/quarantine/quarantine_notice.js';
import {requestSuspect} from '../src/quarantine/request_suspect.js';

const REQUEST = requestSuspect('1');
const PART = 'x';
const QUARANTINE_MS = 60_000;

const CASES: ReadonlyArray<{
  readonly name: string;
  /** Time until a trial, by suspect in quarantine. */
  readonly remainingMs: Readonly<Record<string, number>>;
  readonly refusals: readonly [boolean, boolean];
}> = [
  {
    name: 'nothing is in quarantine',
    remainingMs: {},
    refusals: [false, false],
  },
  {
    name: 'the request is in quarantine',
    remainingMs: {[REQUEST]: QUARANTINE_MS},
    refusals: [true, true],
  },
  {
    name: 'a trial of the request is due',
    remainingMs: {[REQUEST]: 0},
    refusals: [false, true],
  },
  {
    name: 'a trial of the request is due, and none of a part of its prompt',
    remainingMs: {[REQUEST]: 0, [PART]: QUARANTINE_MS},
    refusals: [true, true],
  },
];

describe('QuarantineManager', () => {
  for (const {name, remainingMs, refusals} of CASES) {
    it(`refuses ${refusals.filter(Boolean).length} of two requests when ${name}`, async () => {
      const bus = new EventBus<QuarantineNotice>();
      const manager = new QuarantineManager({
        id: 'a',
        notices: {
          quarantineNotices: () => bus.stream(),
          broadcastFacts: () => undefined,
        } as unknown as PeerNotices,
        metrics: {countQuarantineEvent: () => undefined},
        hostIds: () => ['a'],
      });
      const facts = Object.entries(remainingMs).map(([suspect, ms]) => ({
        suspect,
        generation: 1,
        isLifted: false,
        remainingMs: ms,
      }));
      bus.emit({facts});
      await setImmediate();
      const found = ['r1', 'r2'].map(
        id => manager.check(id, [REQUEST, PART]) !== undefined,
      );
      assert.deepEqual(found, refusals);
    });
  }
});
