import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import fc from 'fast-check';
import {TEST_TIMING, TestGroup} from './test_group.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 12);
const SEED = 20_261_203;
const IDS = ['a/1', 'b/1', 'c/1'];

/** Something that happens to the group. */
enum Step {
  Propose = 'propose',
  Crash = 'crash',
  Isolate = 'isolate',
  Heal = 'heal',
  Wait = 'wait',
}

const steps = fc.array(
  fc.record({
    step: fc.constantFrom(
      Step.Propose,
      Step.Propose,
      Step.Propose,
      Step.Crash,
      Step.Isolate,
      Step.Heal,
      Step.Wait,
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
    await fc.assert(fc.asyncProperty(steps, fc.integer(), runHistory), {
      numRuns: RUNS,
      seed: SEED,
      endOnFailure: true,
    });
  });
});

async function runHistory(
  plan: ReadonlyArray<{step: Step; target: number}>,
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
  let number = 0;
  for (const {step, target} of plan) {
    const id = IDS[target]!;
    if (step === Step.Propose) {
      const command = `c${number++}`;
      const proposed = group.leader()?.node?.propose(command);
      if (proposed) {
        pending.push(
          proposed.then(({ok}) => void (ok && acknowledged.push(command))),
        );
      }
    } else if (step === Step.Crash) {
      await group.crash(id);
      await group.restart(id);
    } else if (step === Step.Isolate) {
      group.network.isolate(id);
    } else if (step === Step.Heal) {
      group.network.heal();
    }
    await sleep(step === Step.Wait ? TEST_TIMING.electionMaxMs : 10);
  }
  group.network.heal();
  group.network.conditions.loss = 0;
  await group.commit('last');
  await Promise.all(pending);
  await group.until('that all applied', () =>
    IDS.every(id => group.members.get(id)!.machine.commands.includes('last')),
  );
  const lists = IDS.map(id => group.members.get(id)!.machine.commands);
  await group.stop();
  for (const list of lists) {
    const upTo = list.slice(0, list.indexOf('last') + 1);
    assert.deepEqual(upTo, lists[0]!.slice(0, upTo.length));
    for (const command of acknowledged) {
      const times = upTo.filter(item => item === command).length;
      assert.equal(times, 1, `${command} applied ${times} times`);
    }
  }
  for (const [term, leaders] of group.leaders) {
    assert.equal(leaders.size, 1, `term ${term} had ${[...leaders].join()}`);
  }
}
