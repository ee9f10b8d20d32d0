import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {monotonicMs} from '@vanillamux/shared';
import type {ClientRequest} from '../src/request/client_request.js';
import {pauseTimeoutMs} from '../src/request/pause_timeout_ms.js';
import {createRoute} from './create_config.js';

const REMAINING_MS = 60_000;

const CASES = [
  {pauseGoalMs: 250, isResumable: true, isLast: false, waitsToTheEnd: false},
  {pauseGoalMs: 250, isResumable: true, isLast: true, waitsToTheEnd: true},
  {pauseGoalMs: 250, isResumable: false, isLast: false, waitsToTheEnd: true},
];

describe('the pause after which a stream is given up', () => {
  for (const {isLast, waitsToTheEnd, ...fields} of CASES) {
    it(`is ${JSON.stringify({isLast, ...fields})}`, () => {
      const route = createRoute({isStream: true, ...fields});
      const deadlineMs = monotonicMs() + REMAINING_MS;
      const request = {route, deadlineMs} as ClientRequest;
      const timeoutMs = pauseTimeoutMs(request, isLast);
      assert.equal(timeoutMs > REMAINING_MS / 2, waitsToTheEnd);
    });
  }
});
