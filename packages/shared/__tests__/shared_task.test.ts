import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Deferred, SharedTask} from '../src/index.js';

/** A task whose runs end as the test says; a run returns its number. */
class ScriptedTask {
  private readonly runs: Array<Deferred<boolean>> = [];
  readonly shared = new SharedTask(async () => {
    const run = new Deferred<boolean>();
    const number = this.runs.push(run);
    if (!(await run.promise)) throw new Error(`run ${number}`);
    return number;
  });

  get started(): number {
    return this.runs.length;
  }

  async end(succeeds = true): Promise<void> {
    this.runs.at(-1)!.resolve(succeeds);
    await setImmediate();
  }
}

describe('SharedTask', () => {
  it('returns a run that began no earlier than the call', async () => {
    const task = new ScriptedTask();
    const results = [1, 2, 3].map(() => task.shared.run());
    assert.equal(task.started, 1);
    await task.end();
    assert.equal(task.started, 2);
    results.push(task.shared.run());
    await task.end();
    await task.end();
    assert.deepEqual(await Promise.all(results), [1, 2, 2, 3]);
  });

  it('runs again for a call after the last run', async () => {
    const task = new ScriptedTask();
    for (const number of [1, 2, 3]) {
      const result = task.shared.run();
      await task.end();
      assert.equal(await result, number);
    }
  });

  it('goes on after a run that fails', async () => {
    const task = new ScriptedTask();
    const first = task.shared.run();
    const second = task.shared.run();
    const failure = assert.rejects(first, /run 1/);
    await task.end(false);
    await failure;
    await task.end();
    assert.equal(await second, 2);
  });
});
