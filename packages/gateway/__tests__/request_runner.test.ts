import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Deferred,
  fail,
  monotonicMs,
  sleep,
  type Result,
} from '@vanillamux/shared';
import type {AnswerHead} from '../src/connection/answer_head.js';
import type {Exchange} from '../src/connection/exchange.js';
import {ExchangeFault} from '../src/connection/exchange_fault.js';
import type {ClientRequest} from '../src/request/client_request.js';
import type {GatewayParts} from '../src/request/gateway_parts.js';
import {RequestRunner} from '../src/request/request_runner.js';
import {createBackends, createWork} from './create_backend.js';
import {createRoute} from './create_config.js';

const REQUESTS = 5;
const TIMEOUT_MS = 60_000;

/** An exchange with a backend server that does not answer. */
function createSilentExchange(): Pick<Exchange, 'head' | 'cancel'> {
  const head = new Deferred<Result<AnswerHead, ExchangeFault>>();
  return {
    head: () => head.promise,
    cancel: reason => head.resolve(fail(new ExchangeFault(true, reason))),
  };
}

describe('RequestRunner', () => {
  it('shows each placement to the next one, however many come at once', async () => {
    const [backend] = createBackends(1);
    const seen: number[] = [];
    const leaving = new AbortController();
    const parts = {
      retries: {noteRequest: () => {}, take: () => true},
      backends: {
        candidates: () => [backend],
        reachability: {isUnreachable: () => false},
      },
      placements: {
        for: () => ({
          place: () => {
            seen.push(backend!.work.entries(monotonicMs()).length);
            const work = [{backend, item: createWork({decodeMs: 1_000})}];
            return {backend, helpers: [], memory: [], work};
          },
        }),
      },
      memory: {reserve: async () => []},
      notices: {tell: () => {}, tellEnd: () => {}},
      record: {noteAdmitted: () => {}, noteEnd: () => {}},
      metrics: {noteEnd: () => {}, noteAttempt: () => {}, noteRepeat: () => {}},
      dialect: {writeRequest: () => [], writeAnswer: () => ({})},
      connections: {of: () => ({send: createSilentExchange})},
      isDraining: () => false,
    } as unknown as GatewayParts;
    const request = {
      req: {rawHeaders: [], method: 'POST', url: '/'},
      res: {},
      facts: {attemptId: 'r', promptTokens: 100},
      route: createRoute({isStream: true}),
      service: {name: 'notes'},
      body: Buffer.alloc(0),
      startedMs: monotonicMs(),
      deadlineMs: monotonicMs() + TIMEOUT_MS,
      signal: leaving.signal,
    } as unknown as ClientRequest;
    for (let number = 0; number < REQUESTS; number++) {
      void new RequestRunner(parts, {
        ...request,
        facts: {...request.facts, attemptId: `r${number}`},
      }).run();
    }
    await sleep(0);
    leaving.abort();
    assert.deepEqual(seen, [0, 1, 2, 3, 4]);
  });
});
