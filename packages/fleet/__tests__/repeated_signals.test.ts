import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {formatAddress} from '@vanillamux/shared';
import {ApiClient, Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const TIMEOUT_MS = 10_000;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
/** Time in which a stopping entry host still says that it isn't ready. */
const DRAIN_NOTICE_MS = 1_000;
/** The service answers after the signals. */
const LATE_MS = 1_500;

const CASES: ReadonlyArray<readonly NodeJS.Signals[]> = [
  ['SIGTERM', 'SIGTERM'],
  ['SIGINT', 'SIGINT'],
  ['SIGTERM', 'SIGHUP', 'SIGINT', 'SIGTERM'],
];

// A repeated signal ended the process at once, with the requests in progress.
describe('an entry host that gets further signals while it stops', () => {
  let fleet: Fleet;
  let session: OperatorSession;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-signals-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      serviceCounts: {claims: 1},
      entrySettings: {drainNoticeMs: DRAIN_NOTICE_MS},
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

  for (const [index, [first, ...repeated]] of CASES.entries()) {
    it(`answers its request: ${first}, then ${repeated.join()}`, async () => {
      const entry = fleet.entryHosts[index]!;
      const client = new ApiClient(entry.address);
      const service = new ApiClient(fleet.serviceHosts[0]!.address);
      const fault = JSON.stringify({kind: 'late', durationMs: LATE_MS});
      await service.call('/faults', 'POST', {}, fault);
      const headers = {
        authorization: 'Bearer tartu-demo-key',
        'idempotency-key': `key-${index}`,
      };
      const received = client.call(
        '/services/claims/claims',
        'POST',
        headers,
        JSON.stringify({claim: `key-${index}`}),
      );
      const executed = await fleet.waitFor('the call', TIMEOUT_MS, async () => {
        const {text} = await service.call('/executions', 'GET');
        return text.includes(`key-${index}`);
      });
      assert.ok(executed.ok);
      const readReadiness = async (): Promise<number> => {
        const res = await fetch(
          `http://${formatAddress(entry.address)}/readyz`,
        );
        await res.arrayBuffer();
        return res.status;
      };
      entry.process.sendSignal(first!);
      const stopping = await fleet.waitFor(
        'the stop',
        TIMEOUT_MS,
        async () => (await readReadiness()) === STATUS_UNAVAILABLE,
      );
      assert.ok(stopping.ok);
      for (const signal of repeated) {
        entry.process.sendSignal(signal);
        assert.equal(await readReadiness(), STATUS_UNAVAILABLE, signal);
      }
      const {status} = await received;
      assert.equal(status, STATUS_OK);
      assert.equal(await entry.process.waitForExit(), 0);
      await Promise.all([client.close(), service.close()]);
    });
  }
});
