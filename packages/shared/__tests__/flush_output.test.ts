import assert from 'node:assert/strict';
import process from 'node:process';
import {afterEach, describe, it, mock} from 'node:test';
import {flushOutput} from '../src/index.js';

const TIMEOUT_MS = 100;
/** How long a busy process takes for a poll that is due after 10 ms. */
const LATE_POLL_MS = 60;

describe('flushOutput', () => {
  afterEach(() => {
    mock.restoreAll();
    Reflect.deleteProperty(process.stdout, 'writableLength');
  });

  it('ends in time while a busy process polls late', async () => {
    let nowMs = 0;
    let polls = 0;
    mock.method(performance, 'now', () => nowMs);
    const get = (): number => {
      polls++;
      nowMs += LATE_POLL_MS;
      return 1;
    };
    const property = {get, configurable: true};
    Object.defineProperty(process.stdout, 'writableLength', property);
    await flushOutput(TIMEOUT_MS);
    assert.equal(polls, 2);
  });
});
