import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EventBus, monotonicMs, sleep} from '@vanillamux/shared';
import {FirstContact} from '../src/reach/first_contact.js';

const SERVICE = 'claims';

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly isReached?: boolean;
  readonly hasHadContact?: boolean;
  readonly isUnknown?: boolean;
  readonly probes: readonly string[];
}> = [
  {
    name: 'one probe, if that reaches a server',
    isReached: true,
    probes: ['one'],
  },
  {name: 'a verification, if the probe fails', probes: ['one', 'all']},
  {name: 'no probe after a response', hasHadContact: true, probes: []},
  {
    name: 'no probe of a service without a server',
    isUnknown: true,
    probes: [],
  },
];

describe('a request that may run once waits at a host that has started for', () => {
  for (const {name, probes, ...row} of CASES) {
    it(name, async () => {
      const bus = new EventBus<string>();
      const made: string[] = [];
      const firstContact = new FirstContact({
        reach: {hasHadContact: () => row.hasHadContact ?? false},
        backends: {discovered: () => bus.stream()},
        prober: {
          reachesOne: async () => {
            made.push('one');
            return row.isReached ?? false;
          },
          verify: async () => {
            made.push('all');
          },
        },
      });
      // Streams deliver in a later turn.
      await sleep(0);
      if (!row.isUnknown) bus.emit(SERVICE);
      await sleep(0);
      await firstContact.wait(SERVICE);
      const again = firstContact.wait(SERVICE);
      assert.deepEqual(made, probes);
      await again;
      assert.deepEqual(made, probes);
    });
  }
});

describe('a host that has started', () => {
  it('probes a service that no request asks for', async () => {
    const bus = new EventBus<string>();
    const startedMs = monotonicMs();
    const probed = new Promise<number>(resolve => {
      new FirstContact({
        reach: {hasHadContact: () => false},
        backends: {discovered: () => bus.stream()},
        prober: {
          reachesOne: async () => {
            resolve(monotonicMs());
            return true;
          },
          verify: () => Promise.resolve(),
        },
      });
    });
    await sleep(0);
    bus.emit(SERVICE);
    assert.ok((await probed) >= startedMs);
  });
});
