import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import fc from 'fast-check';
import {TEST_TIMING, TestGroup} from './test_group.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 12);
const SEED = 20_261_203;
const IDS = ['a/1', 'b/1', 'c/1'];

/** Something that happens to the group. */
enum Action {
  Propose = 'propose',
  Crash = 'crash',
  Isolate = 'isolate',
  Heal = 'heal',
  Wait = 'wait',
}

const schedules = fc.array(
  fc.record({
    action: fc.constantFrom(
      Action.Propose,
      Action.Propose,
      Action.Propose,
      Action.Crash,
      Action.Isolate,
      Action.Heal,
      Action.Wait,
    ),
    target: fc.nat(IDS.length - 1),
  }),
  {minLength: 10, maxLength: 40},
);

/** A small linear congruential source, so that a run's losses are seeded. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

describe('a group under crashes, cuts, loss and repetition', () => {
  it('keeps every acknowledged command, in one order, and one leader a term', async () => {
    await fc.assert(fc.asyncProperty(schedules, fc.integer(), runSchedule), {
      numRuns: RUNS,
      seed: SEED,
      endOnFailure: true,
    });
  });
});

async function runSchedule(
  schedule: ReadonlyArray<{action: Action; target: number}>,
  seed: number,
): Promise<void> {
  const group = new TestGroup(createRandom(seed), {
    snapshotEntries: 8,
    trailingEntries: 2,
  });
  group.network.conditions.loss = 0.05;
  group.network.conditions.duplication = 0.05;
  group.network.conditions.maxDelayMs = 4;
  await group.form(IDS);
  const acknowledged: string[] = [];
  const pending: Array<Promise<void>> = [];
  let commandCount = 0;
  for (const {action: action, target} of schedule) {
    const id = IDS[target]!;
    if (action === Action.Propose) {
      const command = `c${commandCount++}`;
      const proposed = group.leader()?.node?.propose(command);
      if (proposed) {
        pending.push(
          proposed.then(({ok}) => void (ok && acknowledged.push(command))),
        );
      }
    } else if (action === Action.Crash) {
      await group.crash(id);
      await group.restart(id);
    } else if (action === Action.Isolate) {
      group.network.isolate(id);
    } else if (action === Action.Heal) {
      group.network.heal();
    }
    await sleep(action === Action.Wait ? TEST_TIMING.electionMaxMs : 10);
  }
  group.network.heal();
  group.network.conditions.loss = 0;
  await group.commit('last');
  await Promise.all(pending);
  await group.waitUntil('that all applied', () =>
    IDS.every(id => group.members.get(id)!.machine.commands.includes('last')),
  );
  const commandLists = IDS.map(id => group.members.get(id)!.machine.commands);
  await group.stop();
  for (const list of commandLists) {
    const upTo = list.slice(0, list.indexOf('last') + 1);
    assert.deepEqual(upTo, commandLists[0]!.slice(0, upTo.length));
    for (const command of acknowledged) {
      const count = upTo.filter(item => item === command).length;
      assert.equal(count, 1, `${command} applied ${count} times`);
    }
  }
  for (const [term, leaders] of group.leadersByTerm) {
    assert.equal(leaders.size, 1, `term ${term} had ${[...leaders].join()}`);
  }
}
