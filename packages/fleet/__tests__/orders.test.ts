import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {OrderSender, type OperatorSession} from '@vanillamux/cli';
import {ApiClient, Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const TIMEOUT_MS = 10_000;

for (const checksFencing of [true, false]) {
  describe(`orders to an engine that ${checksFencing ? 'checks' : 'ignores'} fencing numbers`, () => {
    let fleet: Fleet;
    let session: OperatorSession;

    before(async () => {
      fleet = await Fleet.create({
        folder: mkdtempSync(join(tmpdir(), 'vmux-orders-')),
        failureDomains: ['fd-a'],
        controlHostCount: 1,
        engineCount: 1,
        checksFencing,
        entrySettings: {drainNoticeMs: 0},
      });
      fleet.start();
      session = fleet.openSession();
      const serving = await waitUntilServing(fleet, session, DECLARATIONS);
      assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
    });

    after(async () => {
      session.close();
      await fleet.stop();
    });

    it('load a model that entry hosts then list', async () => {
      const sent = await new OrderSender(session).send({
        backendId: 'engine-1',
        model: 'parcel-13b',
      });
      assert.ok(sent.ok, sent.ok ? '' : sent.error.message);
      const modelListed = await fleet.waitFor(
        'listing of the model',
        TIMEOUT_MS,
        async () => {
          const backendLists = await session.callEntryHosts<
            Array<{models: string[]}>
          >((api, signal) => api.backends.query(undefined, {signal}));
          return backendLists.every(
            ({result}) =>
              result.ok &&
              result.value.every(({models}) => models.includes('parcel-13b')),
          );
        },
      );
      assert.ok(modelListed.ok);
    });

    it('from another sender wait until the lease of the first has expired', async () => {
      const [firstSender, secondSender] = [
        new OrderSender(session),
        new OrderSender(session),
      ];
      const order = {backendId: 'engine-1', model: 'parcel-13b'};
      const before = await firstSender.send(order);
      assert.ok(before.ok);
      const startedMs = performance.now();
      const after = await secondSender.send(order);
      assert.ok(after.ok);
      assert.equal(after.value, before.value + 1);
      const maxOrderMs = 2_000;
      assert.ok(performance.now() - startedMs > maxOrderMs);
      const engineClient = new ApiClient(fleet.engines[0]!.address);
      const outcome = await engineClient.call(
        '/v1/orders',
        'POST',
        {},
        JSON.stringify({fencing: before.value, model: 'old-model'}),
      );
      await engineClient.close();
      assert.equal(outcome.status, checksFencing ? 409 : 200);
    });

    it('to an unknown backend server are rejected', async () => {
      const sent = await new OrderSender(session).send({
        backendId: 'nobody',
        model: 'm',
      });
      assert.ok(!sent.ok);
      assert.equal(sent.error.code, 'not_found');
    });
  });
}
