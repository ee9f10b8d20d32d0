import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import type {Announcement, LoadReport} from '@vanillamux/protocol';
import {
  ApiClient,
  Fleet,
  waitUntilServing,
  type CallOutcome,
  type FleetHost,
} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const OUTPUT_TOKENS = 150;
const TIMEOUT_MS = 10_000;
/** Time in which a draining backend server stops getting new work. */
const DRAIN_TIMEOUT_MS = 2_000;
const GANG_PROMPT_TOKENS = 900_000;

describe('requests during failures', () => {
  let fleet: Fleet;
  let session: OperatorSession;
  let clients: ApiClient[];

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-load-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      engineCount: 6,
      engineCost: {prefillTokensPerSecond: 400_000, decodeStepMs: 10},
      serviceCounts: {claims: 1},
      entrySettings: {drainNoticeMs: 200},
    });
    fleet.start();
    session = fleet.openSession();
    const serving = await waitUntilServing(fleet, session, DECLARATIONS);
    assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
    clients = fleet.entryHosts.map(({address}) => new ApiClient(address));
  });

  after(async () => {
    await Promise.all(clients.map(client => client.close()));
    session.close();
    await fleet.stop();
  });

  function chat(
    client: ApiClient,
    promptTokens = 500,
    signal?: AbortSignal,
  ): Promise<CallOutcome> {
    return client.chat({
      apiKey: 'tartu-demo-key',
      model: 'parcel-7b',
      prompt: 'x'.repeat(promptTokens * 4),
      maxTokens: OUTPUT_TOKENS,
      signal,
    });
  }

  /** Asserts that every output token arrived once and in order. */
  function assertCompleteOutput(outcome: CallOutcome): void {
    assert.equal(outcome.errorCode, undefined);
    const tokenIndexes = outcome.text
      .trim()
      .split(' ')
      .map(word => Number(/^w(\d+)-/.exec(word)?.[1]));
    assert.deepEqual(
      tokenIndexes,
      Array.from({length: OUTPUT_TOKENS}, (_, index) => index),
    );
  }

  async function fetchText(host: FleetHost, path: string): Promise<string> {
    const client = new ApiClient(host.address);
    const {text} = await client.call(path, 'GET');
    await client.close();
    return text;
  }

  async function injectFault(
    host: FleetHost,
    kind: string,
    durationMs: number,
  ): Promise<void> {
    const client = new ApiClient(host.address);
    const body = JSON.stringify({kind, durationMs});
    await client.call('/faults', 'POST', {}, body).catch(() => undefined);
    await client.close();
  }

  async function findBusyEngines(): Promise<FleetHost[]> {
    const busy: FleetHost[] = [];
    const found = await fleet.waitFor('a busy engine', TIMEOUT_MS, async () => {
      for (const engine of fleet.engines) {
        if (!engine.process.isRunning) continue;
        if ((await fetchText(engine, '/v1/holdings')) !== '[]')
          busy.push(engine);
      }
      return busy.length > 0;
    });
    assert.ok(found.ok);
    return busy;
  }

  /** Waits until an engine has a running stream and returns the engine. */
  async function findStreamingEngine(): Promise<FleetHost> {
    let streaming: FleetHost | undefined;
    const found = await fleet.waitFor(
      'a running stream',
      TIMEOUT_MS,
      async () => {
        for (const engine of fleet.engines) {
          const load = JSON.parse(
            await fetchText(engine, '/v1/load'),
          ) as LoadReport;
          if (load.runningStreams > 0) streaming = engine;
        }
        return streaming !== undefined;
      },
    );
    assert.ok(found.ok);
    return streaming!;
  }

  /**
   * Restarts a process and waits until every entry host lists all backend
   * servers as ready.
   */
  async function restart(host: FleetHost): Promise<void> {
    host.process.start();
    const restarted = await fleet.waitFor(
      'readiness after the restart',
      TIMEOUT_MS,
      async () => {
        const responds = await fetchText(host, '/').then(
          () => true,
          () => false,
        );
        if (!responds) return false;
        const backendLists = await session.callEntryHosts<Announcement[]>(
          (api, signal) => api.backends.query(undefined, {signal}),
        );
        return backendLists.every(
          ({result}) =>
            result.ok &&
            result.value.filter(({state}) => state === 'ready').length ===
              fleet.engines.length + fleet.serviceHosts.length,
        );
      },
    );
    assert.ok(restarted.ok, restarted.ok ? '' : restarted.error.message);
  }

  async function waitForFreeMemory(): Promise<void> {
    const freed = await fleet.waitFor(
      'release of engine memory',
      TIMEOUT_MS,
      async () => {
        const reservationLists = await Promise.all(
          fleet.engines
            .filter(({process}) => process.isRunning)
            .map(engine => fetchText(engine, '/v1/holdings')),
        );
        return reservationLists.every(text => text === '[]');
      },
    );
    assert.ok(freed.ok, freed.ok ? '' : freed.error.message);
  }

  it('resume on another engine without a lost or repeated token when one is killed', async () => {
    const request = chat(clients[0]!);
    const engine = await findStreamingEngine();
    await engine.process.stop('SIGKILL');
    assertCompleteOutput(await request);
    await restart(engine);
  });

  it('resume on a new connection when the open one stops delivering', async () => {
    const request = chat(clients[0]!);
    const engine = await findStreamingEngine();
    await injectFault(engine, 'silence', 300);
    assertCompleteOutput(await request);
  });

  it('complete when an engine stalls', async () => {
    const request = chat(clients[0]!);
    const [engine] = await findBusyEngines();
    await injectFault(engine!, 'stall', 2_500);
    assertCompleteOutput(await request);
  });

  it('release engine memory when the client disconnects', async () => {
    const abortController = new AbortController();
    const rejection = assert.rejects(
      chat(clients[0]!, 500, abortController.signal),
    );
    await findBusyEngines();
    abortController.abort();
    await rejection;
    await waitForFreeMemory();
  });

  it('release engine memory when cancellations are lost', async () => {
    const abortController = new AbortController();
    const rejection = assert.rejects(
      chat(clients[0]!, 500, abortController.signal),
    );
    const [engine] = await findBusyEngines();
    await injectFault(engine!, 'lose_cancel', 1_000);
    abortController.abort();
    await rejection;
    await waitForFreeMemory();
  });

  it('release engine memory when their entry host is killed', async () => {
    const rejection = assert.rejects(chat(clients[1]!));
    await findBusyEngines();
    await fleet.entryHosts[1]!.process.stop('SIGKILL');
    await rejection;
    await waitForFreeMemory();
    await restart(fleet.entryHosts[1]!);
  });

  it('complete on another gang when an engine of their gang is killed', async () => {
    const request = chat(clients[0]!, GANG_PROMPT_TOKENS);
    const [engine] = await findBusyEngines();
    await engine!.process.stop('SIGKILL');
    assertCompleteOutput(await request);
    await restart(engine!);
    await waitForFreeMemory();
  });

  it('are not placed on a draining backend server', async () => {
    const drainingEngine = fleet.engines[0]!;
    const exited = drainingEngine.process.stop('SIGTERM');
    const drained = await fleet.waitFor(
      'draining of the engine',
      DRAIN_TIMEOUT_MS,
      async () => {
        const backendLists = await session.callEntryHosts<Announcement[]>(
          (api, signal) => api.backends.query(undefined, {signal}),
        );
        return backendLists.every(
          ({result}) =>
            result.ok &&
            !result.value.some(
              ({id, state}) => id === drainingEngine.id && state === 'ready',
            ),
        );
      },
    );
    assert.ok(drained.ok, drained.ok ? '' : drained.error.message);
    const outcomes = await Promise.all(
      clients.flatMap(client => [chat(client), chat(client)]),
    );
    for (const outcome of outcomes) {
      assertCompleteOutput(outcome);
      assert.notEqual(outcome.backendId, drainingEngine.id);
    }
    assert.equal(await exited, 0);
    await restart(drainingEngine);
  });

  it('complete during a graceful shutdown of their entry host', async () => {
    const entry = fleet.entryHosts[2]!;
    const requests = [
      chat(clients[2]!),
      chat(clients[2]!, 200_000),
      chat(clients[2]!, GANG_PROMPT_TOKENS),
    ];
    await findBusyEngines();
    const exited = entry.process.stop('SIGTERM');
    for (const outcome of await Promise.all(requests))
      assertCompleteOutput(outcome);
    assert.equal(await exited, 0);
    await restart(entry);
  });

  for (const {name, fault, code, ran, retryCode} of [
    {
      name: 'report an unknown outcome when the response to an at-most-once request is lost',
      fault: 'lose_answer',
      code: 'backend_failed',
      ran: 'unknown',
      retryCode: 'outcome_unknown',
    },
    {
      name: 'report an unknown outcome when the response arrives after the deadline',
      fault: 'late',
      code: 'deadline_exceeded',
      ran: 'unknown',
      retryCode: 'outcome_unknown',
    },
  ]) {
    it(name, async () => {
      const submit = () =>
        clients[0]!.call(
          '/services/claims/claims',
          'POST',
          {
            authorization: 'Bearer tartu-demo-key',
            'idempotency-key': `key-${fault}`,
          },
          '{}',
        );
      const service = fleet.serviceHosts[0]!;
      const healthy = await fleet.waitFor(
        'a prompt response',
        TIMEOUT_MS,
        async () => {
          const startedMs = performance.now();
          const text = await fetchText(service, '/').catch(() => '');
          return text !== '' && performance.now() - startedMs < 100;
        },
      );
      assert.ok(healthy.ok);
      const countExecutions = async () =>
        (JSON.parse(await fetchText(service, '/executions')) as unknown[])
          .length;
      const executed = await countExecutions();
      await injectFault(service, fault, fault === 'late' ? 11_000 : 500);
      const first = await submit();
      assert.equal(first.errorCode, code);
      const {error} = JSON.parse(first.text) as {error: {ran: string}};
      assert.equal(error.ran, ran);
      assert.equal((await submit()).errorCode, retryCode);
      assert.equal(await countExecutions(), executed + 1);
    });
  }
});
