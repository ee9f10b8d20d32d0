import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  Deferred,
  fail,
  monotonicMs,
  sleep,
  type Result,
} from '@vanillamux/shared';
import type {ResponseHead} from '../src/connection/response_head.js';
import type {Exchange} from '../src/connection/exchange.js';
import {ExchangeError} from '../src/connection/exchange_error.js';
import {AdmissionPolicyName} from '../src/admission/admission_policy_name.js';
import {AdmissionPolicies} from '../src/admission/admission_policies.js';
import {DepartureTable} from '../src/departures/departure_table.js';
import {EmptiedDomains} from '../src/evacuation/emptied_domains.js';
import type {Backend} from '../src/fleet/backend.js';
import type {ClientRequest} from '../src/request/client_request.js';
import type {GatewayComponents} from '../src/request/gateway_components.js';
import {RequestRunner} from '../src/request/request_runner.js';
import {StopGate} from '../src/request/stop_gate.js';
import {SharedRetryBudget} from '../src/request/shared_retry_budget.js';
import {ServiceReach} from '../src/reach/service_reach.js';
import {createBackends, createWork} from './create_backend.js';
import {createRoute} from './create_config.js';

const REQUESTS = 5;
const TIMEOUT_MS = 60_000;
const POLL_MS = 20;
const MAX_POLLS = 250;

/** Creates an exchange with a backend server that does not respond. */
function createSilentExchange(): Pick<Exchange, 'head' | 'cancel'> {
  const head = new Deferred<Result<ResponseHead, ExchangeError>>();
  return {
    head: () => head.promise,
    cancel: reason => head.resolve(fail(new ExchangeError(true, reason))),
  };
}

/** Components whose backend servers do not respond. */
function createComponents(
  backends: readonly Backend[],
  overrides: object,
): GatewayComponents {
  const components = {
    retryBudget: {countRequest: () => {}, acquire: () => true},
    backends: {
      candidates: () => backends,
      reachability: {isUnreachable: () => false},
      departures: new DepartureTable(),
      emptied: new EmptiedDomains(),
      isEmptied: () => false,
    },
    placements: {
      for: () => ({
        place: ({candidates}: {candidates: readonly Backend[]}) => ({
          backend: candidates[0],
          helpers: [],
          memory: [],
          work: [],
        }),
      }),
    },
    memory: {reserve: async () => []},
    admission: new AdmissionPolicies(AdmissionPolicyName.Open),
    configStore: {},
    homes: {mayUse: () => true},
    notices: {tell: () => {}, tellEnd: () => {}},
    requestLimits: {
      waitMs: () => 0,
      isLimited: () => false,
      requiresPermit: () => false,
    },
    reach: new ServiceReach(),
    relayPeers: {choose: () => undefined},
    quarantine: {
      check: () => undefined,
      watch: () => ({}),
      end: async () => {},
    },
    requestRecorder: {recordAdmission: () => {}, recordOutcome: () => {}},
    metrics: {
      observeRequest: () => {},
      countAttempt: () => {},
      countFailedAttempt: () => {},
      countRetry: () => {},
      countSilentAttempt: () => {},
    },
    dialect: {writeRequest: () => [], writeResponse: () => ({})},
    connections: {poolFor: () => ({send: createSilentExchange})},
    stopGate: new StopGate(),
  };
  return {...components, ...overrides} as unknown as GatewayComponents;
}

function createRequest(
  signal: AbortSignal,
  route: Parameters<typeof createRoute>[0],
  requestId = 'r',
): ClientRequest {
  return {
    req: {rawHeaders: [], method: 'POST', url: '/'},
    res: {},
    metadata: {requestId, promptTokens: 100},
    route: createRoute(route),
    service: {name: 'notes'},
    body: Buffer.alloc(0),
    fingerprint: {digest: 'd'},
    startedMs: monotonicMs(),
    deadlineMs: monotonicMs() + TIMEOUT_MS,
    signal,
  } as unknown as ClientRequest;
}

describe('RequestRunner', () => {
  // Work that is entered in the ledgers only after an await is invisible to
  // other requests of the same turn, which then choose the same engine.
  it('enters the work of a placement before the next decision', async () => {
    const [backend] = createBackends(1);
    const seen: number[] = [];
    const disconnection = new AbortController();
    const components = createComponents([backend!], {
      placements: {
        for: () => ({
          place: () => {
            seen.push(backend!.work.entries(monotonicMs()).length);
            const work = [{backend, item: createWork({decodeMs: 1_000})}];
            return {backend, helpers: [], memory: [], work};
          },
        }),
      },
    });
    for (let number = 0; number < REQUESTS; number++) {
      const {signal} = disconnection;
      const request = createRequest(signal, {isStream: true}, `r${number}`);
      void new RequestRunner(components, request).run();
    }
    await sleep(0);
    disconnection.abort();
    assert.deepEqual(seen, [0, 1, 2, 3, 4]);
  });

  it('uses up no retry for an attempt that was not sent', async () => {
    const backends = createBackends(6);
    const limits = {ratio: 0, windowMs: 10_000, allowance: 2};
    const retryBudget = new SharedRetryBudget(limits);
    let reservations = 0;
    const memory = [{backend: backends[0], tokens: 1}];
    const components = createComponents(backends, {
      retryBudget,
      placements: {
        for: () => ({
          place: ({candidates}: {candidates: typeof backends}) => ({
            backend: candidates[0],
            helpers: [],
            memory,
            work: [],
          }),
        }),
      },
      // Only the first attempt gets the memory that it needs.
      memory: {reserve: async () => (reservations++ === 0 ? [] : undefined)},
    });
    const disconnection = new AbortController();
    const fields = {isStream: true, isResumable: true, latencyGoalMs: 1};
    const request = createRequest(disconnection.signal, fields);
    const run = new RequestRunner(components, request).run();
    for (let poll = 0; poll < MAX_POLLS && reservations < REQUESTS; poll++)
      await sleep(POLL_MS);
    await sleep(POLL_MS);
    disconnection.abort();
    await run;
    assert.ok(retryBudget.acquire('notes', monotonicMs()));
  });

  it('refuses at once, and says when to return, where all domains are emptied', async () => {
    const responses: Array<[number, Record<string, string>]> = [];
    const res = {
      writeHead: (status: number, headers: Record<string, string>) =>
        responses.push([status, headers]),
      end: () => undefined,
    };
    const components = createComponents([], {
      backends: {isEmptied: () => true},
      // Placing or polling for a backend server would throw.
      placements: undefined,
    });
    const {signal} = new AbortController();
    const request = createRequest(signal, {});
    Object.assign(request, {res});
    await new RequestRunner(components, request).run();
    const [[status, headers]] = responses as [(typeof responses)[0]];
    assert.equal(status, 503);
    assert.ok(Number(headers['Retry-After']) >= 2);
  });

  it('sends nothing after the client has left while it waited for a permit', async () => {
    const permit = new Deferred<boolean>();
    const disconnection = new AbortController();
    let sent = 0;
    const components = createComponents(createBackends(1), {
      requestLimits: {
        waitMs: () => 0,
        isLimited: () => true,
        requiresPermit: () => true,
        acquire: () => permit.promise,
      },
      connections: {
        poolFor: () => ({
          send: () => {
            sent++;
            return createSilentExchange();
          },
        }),
      },
    });
    const request = createRequest(disconnection.signal, {});
    const run = new RequestRunner(components, request).run();
    disconnection.abort();
    permit.resolve(true);
    await run;
    assert.equal(sent, 0);
  });
});
