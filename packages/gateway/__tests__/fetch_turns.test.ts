import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Deferred} from '@vanillamux/shared';
import {FetchTurns} from '../src/link/fetch_turns.js';

/** No fetch waits so long for another one. */
const LONG_MS = 1_000;

describe('the turns of fetches', () => {
  beforeEach(() => mock.timers.enable({apis: ['setTimeout']}));
  afterEach(() => mock.timers.reset());

  /** Runs a fetch that lasts until `end`, and one after it. */
  function runTwo(end: Promise<void>): string[] {
    const turns = new FetchTurns();
    const started: string[] = [];
    for (const name of ['first', 'second']) {
      void turns.run(() => {
        started.push(name);
        return end;
      });
    }
    return started;
  }

  it('let a fetch wait for the one before', async () => {
    const end = new Deferred<void>();
    const started = runTwo(end.promise);
    await setImmediate();
    assert.deepEqual(started, ['first']);
    end.resolve();
    await setImmediate();
    assert.deepEqual(started, ['first', 'second']);
  });

  it('let no fetch wait long for a control host that hangs', async () => {
    const started = runTwo(new Promise<void>(() => {}));
    await setImmediate();
    mock.timers.tick(LONG_MS);
    await setImmediate();
    assert.deepEqual(started, ['first', 'second']);
  });
});
