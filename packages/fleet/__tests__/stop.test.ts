import assert from 'node:assert/strict';
import {cpSync, mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {ApiClient, Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const DEADLINE_MS = 2_000;
const TIMEOUT_MS = 10_000;

describe('an entry host that receives SIGTERM', () => {
  let fleet: Fleet;
  let session: OperatorSession;
  let client: ApiClient;

  before(async () => {
    const folder = mkdtempSync(join(tmpdir(), 'vmux-stop-'));
    fleet = await Fleet.create({
      folder,
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      serviceCounts: {claims: 1},
      entrySettings: {drainNoticeMs: 0},
    });
    fleet.start();
    session = fleet.openSession();
    const serving = await waitUntilServing(
      fleet,
      session,
      copyDeclarations(folder),
    );
    assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
    client = new ApiClient(fleet.entryHosts[0]!.address);
  });

  after(async () => {
    await client.close();
    session.close();
    await fleet.stop();
  });

  it('answers a request whose outcome cannot be settled by its deadline', async () => {
    const service = new ApiClient(fleet.serviceHosts[0]!.address);
    const fault = JSON.stringify({kind: 'late', durationMs: TIMEOUT_MS});
    await service.call('/faults', 'POST', {}, fault);
    const answer = client.call(
      '/services/claims/claims',
      'POST',
      {
        authorization: 'Bearer tartu-demo-key',
        'idempotency-key': 'key-1',
      },
      '{}',
    );
    const executed = await fleet.waitFor('the call', TIMEOUT_MS, async () => {
      const {text} = await service.call('/executions', 'GET');
      return text !== '[]';
    });
    assert.ok(executed.ok);
    // The record still reaches one control host, but there is no quorum.
    const [, ...others] = fleet.controlHosts;
    await Promise.all(others.map(({process}) => process.stop('SIGKILL')));
    const exited = fleet.entryHosts[0]!.process.stop();
    const {errorCode} = await answer;
    assert.equal(errorCode, 'deadline_exceeded');
    assert.equal(await exited, 0);
    await service.close();
  });
});

/** Copies the declarations, with a shorter deadline of service calls. */
function copyDeclarations(folder: string): string {
  const copy = join(folder, 'declarations');
  cpSync(DECLARATIONS, copy, {recursive: true});
  const file = join(copy, 'classes.yaml');
  const classes = readFileSync(file, 'utf8');
  writeFileSync(
    file,
    classes.replace('deadlineMs: 10000', `deadlineMs: ${DEADLINE_MS}`),
  );
  return copy;
}
