import assert from 'node:assert/strict';
import {once} from 'node:events';
import {ServerResponse, IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {sleep, type Result} from '@vanillamux/shared';
import type {Permit} from '@vanillamux/limits';
import type {RequestContext} from '../src/request_context.js';
import {HandlerFixture} from './support/handler_fixture.js';

const SHORT_DEADLINE_MS = 100;
const LONG_DEADLINE_MS = 10_000;
/** Several intervals at which a drain looks at what is left. */
const PAUSE_MS = 100;
const DETAILS = {target: 'm'};

// A request that waited in a queue was cut at the deadline of those before it.
describe('the drain of an entry host', () => {
  it('waits for a request that is queued behind one with an earlier deadline', async () => {
    const {requests} = new HandlerFixture({});
    const createContext = (deadlineMs: number): RequestContext =>
      requests.createContext({
        res: new ServerResponse(new IncomingMessage(new Socket())),
        workspace: {name: 'desk', keys: [], concurrency: 2, weight: 1},
        workClass: {
          name: 'rush',
          priority: 1,
          deadlineMs,
          concurrency: 1,
          queue: 1,
          shedOrder: 1,
        },
        version: 1,
        rule: 'm',
      });
    const first = createContext(SHORT_DEADLINE_MS);
    const second = createContext(LONG_DEADLINE_MS);
    const firstPermit = await requests.admit(first, 1, DETAILS);
    const secondPermit = requests.admit(second, 1, DETAILS);
    let hasEnded = false;
    const drained = requests.drain().then(() => (hasEnded = true));
    await once(first.signal, 'abort');
    await sleep(PAUSE_MS);
    finish(first, firstPermit);
    finish(second, await secondPermit, () => assert.equal(hasEnded, false));
    await drained;

    function finish(
      ctx: RequestContext,
      permit: Result<Permit>,
      check?: () => void,
    ): void {
      assert.ok(permit.ok);
      check?.();
      requests.finish(ctx, DETAILS, {});
      permit.value.release();
    }
  });
});
