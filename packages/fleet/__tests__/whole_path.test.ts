import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {ApiClient, Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const AUTHORIZATION = {authorization: 'Bearer tartu-demo-key'};
const TIMEOUT_MS = 10_000;

describe('requests of each kind through separate processes', () => {
  let fleet: Fleet;
  let session: OperatorSession;
  let client: ApiClient;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-path-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      engineCount: 3,
      models: ['parcel-7b'],
      serviceCounts: {claims: 2},
      engineCost: {prefillTokensPerSecond: 1_000_000},
      entrySettings: {maxBodyBytes: 6_000_000, drainNoticeMs: 0},
    });
    fleet.start();
    session = fleet.openSession();
    const serving = await waitUntilServing(fleet, session, DECLARATIONS);
    assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
    client = new ApiClient(fleet.entryHosts[0]!.address);
  });

  after(async () => {
    await client.close();
    session.close();
    await fleet.stop();
  });

  for (const {name, tokens} of [
    {name: 'a short prompt', tokens: 50},
    {name: 'a 200,000-token prompt', tokens: 200_000},
    {name: 'a 1,000,000-token prompt, on a gang', tokens: 1_000_000},
  ]) {
    it(`streams the complete response to ${name}`, async () => {
      const outcome = await client.chat({
        apiKey: 'tartu-demo-key',
        model: 'parcel-7b',
        prompt: 'x'.repeat(tokens * 4),
        maxTokens: 12,
      });
      assert.equal(outcome.status, 200);
      assert.equal(outcome.errorCode, undefined);
      const words = outcome.text.trim().split(' ');
      assert.deepEqual(
        words.map(word => word.split('-')[0]),
        Array.from({length: 12}, (_, index) => `w${index}`),
      );
    });
  }

  it('releases all engine memory', async () => {
    const freed = await fleet.waitFor(
      'release of engine memory',
      TIMEOUT_MS,
      async () => {
        const reservationLists = await Promise.all(
          fleet.engines.map(async ({address}) => {
            const engineClient = new ApiClient(address);
            const reservations = await engineClient.call('/v1/holdings', 'GET');
            await engineClient.close();
            return reservations.text;
          }),
        );
        return reservationLists.every(text => text === '[]');
      },
    );
    assert.ok(freed.ok);
  });

  it('executes an at-most-once request once and replays its response', async () => {
    const submit = (body: string) =>
      client.call(
        '/services/claims/claims',
        'POST',
        {...AUTHORIZATION, 'idempotency-key': 'claim-1'},
        body,
      );
    const first = await submit('{"farm":"EE-1"}');
    const retried = await submit('{"farm":"EE-1"}');
    const otherBody = await submit('{"farm":"EE-2"}');
    assert.equal(first.status, 200);
    assert.equal(retried.text, first.text);
    assert.equal(retried.headers['idempotent-replayed'], 'true');
    assert.equal(otherBody.errorCode, 'key_reused');
    let executed = 0;
    for (const {address} of fleet.serviceHosts) {
      const serviceClient = new ApiClient(address);
      const list = await serviceClient.call('/executions', 'GET');
      executed += (JSON.parse(list.text) as unknown[]).length;
      await serviceClient.close();
    }
    assert.equal(executed, 1);
  });

  const chatBody = (overrides: object): string =>
    JSON.stringify({
      model: 'parcel-7b',
      messages: [{role: 'user', content: 'hello'}],
      ...overrides,
    });
  for (const {name, path, headers, body, status, code} of [
    {
      name: 'malformed JSON',
      path: '/v1/chat/completions',
      headers: AUTHORIZATION,
      body: '{"model":',
      status: 400,
      code: 'bad_request',
    },
    {
      name: 'a body over the limit',
      path: '/v1/chat/completions',
      headers: AUTHORIZATION,
      body: 'x'.repeat(6_000_001),
      status: 413,
      code: 'body_too_large',
    },
    {
      name: 'an unknown model',
      path: '/v1/chat/completions',
      headers: AUTHORIZATION,
      body: chatBody({model: 'no-such-model'}),
      status: 404,
      code: 'unknown_model',
    },
    {
      name: 'an unknown class',
      path: '/v1/chat/completions',
      headers: AUTHORIZATION,
      body: chatBody({class: 'no-such-class'}),
      status: 400,
      code: 'unknown_class',
    },
    {
      name: 'a missing API key',
      path: '/v1/chat/completions',
      headers: {},
      body: chatBody({}),
      status: 401,
      code: 'missing_key',
    },
    {
      name: 'an API key without a workspace',
      path: '/v1/chat/completions',
      headers: {authorization: 'Bearer nobody'},
      body: chatBody({}),
      status: 401,
      code: 'unknown_key',
    },
    {
      name: 'an unknown service',
      path: '/services/nothing/x',
      headers: AUTHORIZATION,
      body: '{}',
      status: 404,
      code: 'unknown_service',
    },
    {
      name: 'an at-most-once request without an idempotency key',
      path: '/services/claims/claims',
      headers: AUTHORIZATION,
      body: '{}',
      status: 400,
      code: 'idempotency_key_required',
    },
    {
      name: 'a prompt and output that exceed the memory of the fleet',
      path: '/v1/chat/completions',
      headers: AUTHORIZATION,
      body: chatBody({
        messages: [{role: 'user', content: 'x'.repeat(5_900_000)}],
      }),
      status: 413,
      code: 'prompt_too_long',
    },
  ]) {
    it(`rejects ${name}`, async () => {
      const outcome = await client.call(path, 'POST', headers, body);
      assert.equal(outcome.status, status);
      assert.equal(outcome.errorCode, code);
      const {error} = JSON.parse(outcome.text) as {error: {ran: string}};
      assert.equal(error.ran, 'not_run');
    });
  }

  it('records the placement candidates of the attempt that completed', async () => {
    const outcome = await client.chat({
      apiKey: 'tartu-demo-key',
      model: 'parcel-7b',
      prompt: 'x'.repeat(400),
      maxTokens: 4,
    });
    const {requestId} = outcome;
    const recorded = await fleet.waitFor(
      'completion of the record',
      TIMEOUT_MS,
      async () => {
        const {entries} = await session.collectRecord({requestId});
        return entries.some(({kind}) => kind === 'completed');
      },
    );
    assert.ok(recorded.ok);
    const {entries} = await session.collectRecord({requestId});
    const completed = entries.find(({kind}) => kind === 'completed');
    assert.equal(completed?.candidates?.[0]?.backend, outcome.backendId);
    assert.equal(completed?.backend, outcome.backendId);
  });

  it('records every admission and completion in valid chains', async () => {
    const complete = await fleet.waitFor(
      'completion of the record',
      TIMEOUT_MS,
      async () => {
        const {entries} = await session.collectRecord({limit: 1_000});
        const count = (kind: string) =>
          entries.filter(entry => entry.kind === kind).length;
        return (
          count('admitted') > 0 && count('admitted') === count('completed')
        );
      },
    );
    assert.ok(complete.ok);
    const {
      corruptions: faults,
      missingHosts: missing,
      chains,
    } = await session.verifyRecord();
    assert.deepEqual(faults, []);
    assert.deepEqual(missing, []);
    assert.equal(chains, 3);
  });
});
