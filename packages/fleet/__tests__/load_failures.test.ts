import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import type {Announcement, LoadReport} from '@vanillamux/protocol';
import {
  Caller,
  Fleet,
  waitUntilServing,
  type CallOutcome,
  type FleetHost,
} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const ANSWER_TOKENS = 150;
const LIMIT_MS = 10_000;
/** A backend server that is leaving gets no new work after this time. */
const LEAVE_LIMIT_MS = 2_000;
const GANG_PROMPT_TOKENS = 900_000;

describe('requests under failure', () => {
  let fleet: Fleet;
  let session: OperatorSession;
  let callers: Caller[];

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-load-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      engines: 6,
      cost: {prefillTokensPerSecond: 400_000, decodeStepMs: 10},
      services: {claims: 1},
      entrySettings: {drainNoticeMs: 200},
    });
    fleet.start();
    session = fleet.openSession();
    const serving = await waitUntilServing(fleet, session, DECLARATIONS);
    assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
    callers = fleet.entries.map(({address}) => new Caller(address));
  });

  after(async () => {
    await Promise.all(callers.map(caller => caller.close()));
    session.close();
    await fleet.stop();
  });

  function chat(
    caller: Caller,
    promptTokens = 500,
    signal?: AbortSignal,
  ): Promise<CallOutcome> {
    return caller.chat({
      apiKey: 'tartu-demo-key',
      model: 'parcel-7b',
      prompt: 'x'.repeat(promptTokens * 4),
      maxTokens: ANSWER_TOKENS,
      signal,
    });
  }

  /** Checks that every token came once and in order. */
  function assertWhole(outcome: CallOutcome): void {
    assert.equal(outcome.errorCode, undefined);
    const indexes = outcome.text
      .trim()
      .split(' ')
      .map(word => Number(/^w(\d+)-/.exec(word)?.[1]));
    assert.deepEqual(
      indexes,
      Array.from({length: ANSWER_TOKENS}, (_, index) => index),
    );
  }

  async function read(host: FleetHost, path: string): Promise<string> {
    const caller = new Caller(host.address);
    const {text} = await caller.call(path, 'GET');
    await caller.close();
    return text;
  }

  async function inject(
    host: FleetHost,
    kind: string,
    durationMs: number,
  ): Promise<void> {
    const caller = new Caller(host.address);
    const body = JSON.stringify({kind, durationMs});
    await caller.call('/faults', 'POST', {}, body).catch(() => undefined);
    await caller.close();
  }

  async function findBusyEngines(): Promise<FleetHost[]> {
    const busy: FleetHost[] = [];
    const found = await fleet.waitFor('a busy engine', LIMIT_MS, async () => {
      for (const engine of fleet.engines) {
        if (!engine.process.isRunning) continue;
        if ((await read(engine, '/v1/holdings')) !== '[]') busy.push(engine);
      }
      return busy.length > 0;
    });
    assert.ok(found.ok);
    return busy;
  }

  /** Waits until an engine streams an answer, and returns it. */
  async function findStreamingEngine(): Promise<FleetHost> {
    let streaming: FleetHost | undefined;
    const found = await fleet.waitFor('a stream', LIMIT_MS, async () => {
      for (const engine of fleet.engines) {
        const load = JSON.parse(await read(engine, '/v1/load')) as LoadReport;
        if (load.runningStreams > 0) streaming = engine;
      }
      return streaming !== undefined;
    });
    assert.ok(found.ok);
    return streaming!;
  }

  /** Starts a process again and waits until every entry host knows it. */
  async function restart(host: FleetHost): Promise<void> {
    host.process.start();
    const known = await fleet.waitFor('a restart', LIMIT_MS, async () => {
      const answers = await read(host, '/').then(
        () => true,
        () => false,
      );
      if (!answers) return false;
      const states = await session.callEntryHosts<Announcement[]>(
        (api, signal) => api.backends.query(undefined, {signal}),
      );
      return states.every(
        ({result}) =>
          result.ok &&
          result.value.filter(({state}) => state === 'ready').length ===
            fleet.engines.length + fleet.services.length,
      );
    });
    assert.ok(known.ok, known.ok ? '' : known.error.message);
  }

  async function waitForFreeMemory(): Promise<void> {
    const freed = await fleet.waitFor('free memory', LIMIT_MS, async () => {
      const held = await Promise.all(
        fleet.engines
          .filter(({process}) => process.isRunning)
          .map(engine => read(engine, '/v1/holdings')),
      );
      return held.every(text => text === '[]');
    });
    assert.ok(freed.ok, freed.ok ? '' : freed.error.message);
  }

  it('go on elsewhere without a lost or repeated token when an engine dies', async () => {
    const running = chat(callers[0]!);
    const engine = await findStreamingEngine();
    await engine.process.stop('SIGKILL');
    assertWhole(await running);
    await restart(engine);
  });

  it('resume on a new connection when the open one goes silent', async () => {
    const running = chat(callers[0]!);
    const engine = await findStreamingEngine();
    await inject(engine, 'silence', 300);
    assertWhole(await running);
  });

  it('end within their time when an engine stalls', async () => {
    const running = chat(callers[0]!);
    const [engine] = await findBusyEngines();
    await inject(engine!, 'stall', 2_500);
    assertWhole(await running);
  });

  it('release engine memory when the caller hangs up', async () => {
    const hangUp = new AbortController();
    const cut = assert.rejects(chat(callers[0]!, 500, hangUp.signal));
    await findBusyEngines();
    hangUp.abort();
    await cut;
    await waitForFreeMemory();
  });

  it('release engine memory when cancels are lost', async () => {
    const hangUp = new AbortController();
    const cut = assert.rejects(chat(callers[0]!, 500, hangUp.signal));
    const [engine] = await findBusyEngines();
    await inject(engine!, 'lose_cancel', 1_000);
    hangUp.abort();
    await cut;
    await waitForFreeMemory();
  });

  it('release engine memory when their entry host dies', async () => {
    const cut = assert.rejects(chat(callers[1]!));
    await findBusyEngines();
    await fleet.entries[1]!.process.stop('SIGKILL');
    await cut;
    await waitForFreeMemory();
    await restart(fleet.entries[1]!);
  });

  it('finish on another gang when an engine of theirs dies', async () => {
    const running = chat(callers[0]!, GANG_PROMPT_TOKENS);
    const [engine] = await findBusyEngines();
    await engine!.process.stop('SIGKILL');
    assertWhole(await running);
    await restart(engine!);
    await waitForFreeMemory();
  });

  it('reach no backend server that is leaving', async () => {
    const leaving = fleet.engines[0]!;
    const ended = leaving.process.stop('SIGTERM');
    const told = await fleet.waitFor('the leave', LEAVE_LIMIT_MS, async () => {
      const states = await session.callEntryHosts<Announcement[]>(
        (api, signal) => api.backends.query(undefined, {signal}),
      );
      return states.every(
        ({result}) =>
          result.ok &&
          !result.value.some(
            ({id, state}) => id === leaving.id && state === 'ready',
          ),
      );
    });
    assert.ok(told.ok, told.ok ? '' : told.error.message);
    const outcomes = await Promise.all(
      callers.flatMap(caller => [chat(caller), chat(caller)]),
    );
    for (const outcome of outcomes) {
      assertWhole(outcome);
      assert.notEqual(outcome.backend, leaving.id);
    }
    assert.equal(await ended, 0);
    await restart(leaving);
  });

  it('are not cut off by a graceful shutdown of their entry host', async () => {
    const entry = fleet.entries[2]!;
    const running = [
      chat(callers[2]!),
      chat(callers[2]!, 200_000),
      chat(callers[2]!, GANG_PROMPT_TOKENS),
    ];
    await findBusyEngines();
    const ended = entry.process.stop('SIGTERM');
    for (const outcome of await Promise.all(running)) assertWhole(outcome);
    assert.equal(await ended, 0);
    await restart(entry);
  });

  for (const {name, fault, code, ran, again} of [
    {
      name: 'say unknown when the answer of an at-most-once request is lost',
      fault: 'lose_answer',
      code: 'backend_failed',
      ran: 'unknown',
      again: 'outcome_unknown',
    },
    {
      name: 'say unknown when the answer comes after the deadline',
      fault: 'late',
      code: 'deadline_exceeded',
      ran: 'unknown',
      again: 'outcome_unknown',
    },
  ]) {
    it(name, async () => {
      const submit = () =>
        callers[0]!.call(
          '/services/claims/claims',
          'POST',
          {
            authorization: 'Bearer tartu-demo-key',
            'idempotency-key': `key-${fault}`,
          },
          '{}',
        );
      const service = fleet.services[0]!;
      const healthy = await fleet.waitFor('an answer', LIMIT_MS, async () => {
        const started = performance.now();
        const answer = await read(service, '/').catch(() => '');
        return answer !== '' && performance.now() - started < 100;
      });
      assert.ok(healthy.ok);
      const count = async () =>
        (JSON.parse(await read(service, '/executions')) as unknown[]).length;
      const executed = await count();
      await inject(service, fault, fault === 'late' ? 11_000 : 500);
      const first = await submit();
      assert.equal(first.errorCode, code);
      const {error} = JSON.parse(first.text) as {error: {ran: string}};
      assert.equal(error.ran, ran);
      assert.equal((await submit()).errorCode, again);
      assert.equal(await count(), executed + 1);
    });
  }
});
