import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
  createServer,
  request,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {getLogger, monotonicMs, sleep, succeed} from '@vanillamux/shared';
import {RouteTable} from '../src/config/route_table.js';
import {AdmissionPolicyName} from '../src/admission/admission_policy_name.js';
import {AdmissionPolicies} from '../src/admission/admission_policies.js';
import {DepartureTable} from '../src/departures/departure_table.js';
import {EmptiedDomains} from '../src/evacuation/emptied_domains.js';
import {ResponseVerdict} from '../src/dialect/response_verdict.js';
import {ByteBudget} from '../src/bytes/byte_budget.js';
import type {GatewayComponents} from '../src/request/gateway_components.js';
import {RequestHandler} from '../src/request/request_handler.js';
import {RelayGate} from '../src/relay/relay_gate.js';
import {RelayHeader} from '../src/relay/relay_header.js';
import {RelayOutcome} from '../src/relay/relay_outcome.js';
import {formatRelaySource} from '../src/relay/relay_source.js';
import {StopGate} from '../src/request/stop_gate.js';
import {ServiceReach} from '../src/reach/service_reach.js';
import type {GatewayConfig} from '../src/index.js';
import {createBackends} from './create_backend.js';
import {createConfig, createRoute} from './create_config.js';

const BODY = 'the response';
const HEAD = {status: 200, headers: {'content-length': '12'}, rawHeaders: []};

/** Larger than the buffers of both sockets of a connection. */
const LARGE_BODY = Buffer.alloc(32 * 1_024 * 1_024);
const POLL_MS = 5;
const WAIT_LIMIT_MS = 5_000;

/** What a client received: a response, or a connection that closed early. */
interface Received {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
}

interface Case {
  readonly component: string;
  readonly isStream?: boolean;
  readonly overrides: object;
  readonly received: Received;
}

function fault(): never {
  throw new Error('a defect');
}

const INTERNAL_ERROR: Received = {
  status: 500,
  body: '{"error":"internal error"}\n',
  isComplete: true,
};
const EVENT = 'data: x\n\n';
/** What the client reports when its connection was reset. */
const RESET: Received = {status: 0, body: '', isComplete: false};
const COMPLETE: Received = {status: 200, body: BODY, isComplete: true};

const CASES: readonly Case[] = [
  {
    component: 'the dialect, before anything was sent',
    overrides: {dialect: {readRequest: fault}},
    received: INTERNAL_ERROR,
  },
  {
    component: 'the dialect, for the error response, too',
    overrides: {dialect: {readRequest: fault, writeResponse: fault}},
    received: INTERNAL_ERROR,
  },
  {
    component: 'the configuration store, before anything was sent',
    overrides: {configStore: {waitForFirst: fault}},
    received: INTERNAL_ERROR,
  },
  {
    component: 'the recorder, before anything was sent',
    overrides: {requestRecorder: {hasCapacity: true, recordAdmission: fault}},
    received: INTERNAL_ERROR,
  },
  {
    component: 'the placement, before anything was sent',
    overrides: {placements: {for: () => ({place: fault})}},
    received: INTERNAL_ERROR,
  },
  {
    component: 'the connections, before anything was sent',
    overrides: {connections: {poolFor: fault}},
    received: INTERNAL_ERROR,
  },
  {
    component: 'the exchange, after an event was sent',
    isStream: true,
    overrides: {connections: createConnections(createEventThenFault())},
    received: RESET,
  },
  {
    component: 'the metrics, after the response was sent',
    overrides: {
      metrics: {countAttempt: () => undefined, observeRequest: fault},
    },
    received: COMPLETE,
  },
];

/** Reads one event, and then fails in a later turn. */
function createEventThenFault(): () => Promise<unknown> {
  const reads = [
    async () => succeed(Buffer.from(EVENT)),
    async () => {
      await sleep(POLL_MS);
      return fault();
    },
  ];
  return () => reads.shift()!();
}

/** Connections to a backend server that sends a head and then `read()`. */
function createConnections(read: () => unknown): object {
  const head = async (): Promise<unknown> => succeed(HEAD);
  const send = (): object => ({
    head,
    read,
    limitBody: () => undefined,
    cancel: () => undefined,
  });
  return {poolFor: () => ({send})};
}

const CONFIG_VERSION = 2;
const KEY = 'key';
const KNOWN = {path: '/known/x', key: KEY};
const UNKNOWN_ROUTE = {path: '/other/x', key: KEY};
const UNKNOWN_KEY = {path: '/known/x', key: 'other'};
const TAKEN = {status: 200};
const NOT_SENT = {status: 503, outcome: RelayOutcome.NotSent};
const NO_ROUTE = {status: 404, outcome: RelayOutcome.Invalid};
const NO_KEY = {status: 401, outcome: RelayOutcome.Invalid};

/** Requests that a host with a version of the configuration relays. */
const RELAYED_CASES = [
  {name: 'a known route', sent: KNOWN, version: 1, expected: TAKEN},
  {name: 'a known route', sent: KNOWN, version: 2, expected: TAKEN},
  {name: 'a known route', sent: KNOWN, version: 3, expected: NOT_SENT},
  {name: 'no route', sent: UNKNOWN_ROUTE, version: 1, expected: NO_ROUTE},
  {name: 'no route', sent: UNKNOWN_ROUTE, version: 2, expected: NO_ROUTE},
  {name: 'no route', sent: UNKNOWN_ROUTE, version: 3, expected: NOT_SENT},
  {name: 'an unknown key', sent: UNKNOWN_KEY, version: 1, expected: NO_KEY},
  {name: 'an unknown key', sent: UNKNOWN_KEY, version: 2, expected: NO_KEY},
  {name: 'an unknown key', sent: UNKNOWN_KEY, version: 3, expected: NOT_SENT},
];

/** Components of a host that other ones relay requests to. */
function createRelayComponents(
  workspaces: GatewayConfig['workspaces'] = [
    {name: 'desk', keys: [KEY], priority: 1},
  ],
): GatewayComponents {
  const {dialect, requestRecorder, metrics} = createComponents(false, {});
  const address = {host: '127.0.0.1', port: 1};
  const config = createConfig({
    version: CONFIG_VERSION,
    routes: [createRoute({pathPrefix: '/known/'})],
    workspaces,
  });
  return createComponents(false, {
    dialect: {
      ...dialect,
      readRequest: (headers: IncomingHttpHeaders) => ({
        requestId: 'r',
        key: headers['api-key'],
      }),
    },
    configStore: {
      version: CONFIG_VERSION,
      waitForFirst: async () => new RouteTable(config),
    },
    relayGate: new RelayGate({
      reach: new ServiceReach(),
      peers: () => [{id: 'peer', failureDomain: 'fd', address}],
      isDraining: () => false,
    }),
    requestRecorder: {...requestRecorder, recordRefusal: () => undefined},
    metrics: {
      ...metrics,
      countRelay: () => undefined,
      countRefusal: () => undefined,
    },
  });
}

/** Sends a request as a host with a version of the configuration relays it. */
async function relayRequest(
  server: Server,
  {path, key}: {readonly path: string; readonly key: string},
  configVersion: number,
): Promise<IncomingMessage> {
  const {port} = server.address() as AddressInfo;
  const headers = {
    host: 'main.example',
    'api-key': key,
    [RelayHeader.Request]: formatRelaySource({from: 'peer', configVersion}),
  };
  const req = request({port, path, headers, agent: false, method: 'POST'});
  req.end('body');
  const [res] = (await once(req, 'response')) as [IncomingMessage];
  res.resume();
  await once(res, 'end');
  return res;
}

function createComponents(
  isStream: boolean,
  overrides: object,
): GatewayComponents {
  const [backend] = createBackends(1);
  const config = createConfig({routes: [createRoute({isStream})]});
  const chunks = [Buffer.from(BODY)];
  const components = {
    dialect: {
      readRequest: () => ({requestId: 'r', promptTokens: 1}),
      writeRequest: () => [],
      readResponse: () => ({verdict: ResponseVerdict.Valid}),
      writeResponse: () => ({}),
    },
    configStore: {waitForFirst: async () => new RouteTable(config)},
    backends: {
      candidates: () => [backend],
      reachability: {
        isUnreachable: () => false,
        recordResponse: () => undefined,
      },
      departures: new DepartureTable(),
      emptied: new EmptiedDomains(),
      isEmptied: () => false,
    },
    backendSignals: {learn: () => undefined, learnStatus: () => undefined},
    knownBackends: {wait: () => Promise.resolve()},
    connections: createConnections(async () => succeed(chunks.shift())),
    placements: {
      for: () => ({
        place: () => ({backend, helpers: [], memory: [], work: []}),
      }),
    },
    admission: new AdmissionPolicies(AdmissionPolicyName.Open),
    homes: {mayUse: () => true},
    retryBudget: {countRequest: () => undefined, acquire: () => true},
    notices: {tell: () => undefined, tellEnd: () => undefined},
    quarantine: {
      check: () => undefined,
      watch: () => ({}),
      recordProgress: () => undefined,
      recordSound: () => undefined,
      end: async () => undefined,
    },
    factSync: {isSynced: true},
    firstContact: {wait: () => Promise.resolve()},
    reach: new ServiceReach(),
    relayPeers: {choose: () => undefined},
    relayGate: {identify: () => undefined},
    requestLimits: {
      waitMs: () => 0,
      isLimited: () => false,
      requiresPermit: () => false,
      learn: () => undefined,
    },
    requestRecorder: {
      hasCapacity: true,
      recordAdmission: () => undefined,
      recordOutcome: () => undefined,
    },
    metrics: {
      observeRequest: () => undefined,
      countAttempt: () => undefined,
    },
    requestBytes: new ByteBudget(4 * LARGE_BODY.length),
    responseBytes: new ByteBudget(4 * LARGE_BODY.length),
    stopGate: new StopGate(),
  };
  return {...components, ...overrides} as unknown as GatewayComponents;
}

/** Sends a request; resolves when its connection has nothing more to give. */
function sendRequest(server: Server): Promise<Received> {
  const {port} = server.address() as AddressInfo;
  return new Promise(resolve => {
    const headers = {host: 'main.example'};
    const req = request({port, headers, agent: false, method: 'POST'}, res => {
      let body = '';
      res.on('data', (bytes: Buffer) => (body += bytes.toString()));
      res.on('error', () => undefined);
      res.on('close', () =>
        resolve({status: res.statusCode!, body, isComplete: res.complete}),
      );
    });
    req.on('error', () => resolve({status: 0, body: '', isComplete: false}));
    req.end('body');
  });
}

/** Sends a request and reads no byte of the response. */
async function connectWithoutReading(server: Server): Promise<Socket> {
  const {port} = server.address() as AddressInfo;
  const socket = connect({port, host: '127.0.0.1'});
  socket.write('GET / HTTP/1.1\r\nHost: main.example\r\n\r\n');
  await once(socket, 'readable');
  return socket;
}

async function waitUntil(check: () => boolean): Promise<void> {
  const endMs = monotonicMs() + WAIT_LIMIT_MS;
  while (!check()) {
    assert.ok(monotonicMs() < endMs, 'the condition was not met in time');
    await sleep(POLL_MS);
  }
}

const CLIENT_ACTIONS = [
  {action: 'reads it', act: (socket: Socket) => socket.resume()},
  {action: 'has left', act: (socket: Socket) => socket.destroy()},
];

describe('RequestHandler', () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    mock.restoreAll();
    server.close();
    server.closeAllConnections();
  });

  for (const {component, isStream = false, overrides, received} of CASES) {
    it(`survives an exception in ${component}`, async () => {
      const logError = mock.method(getLogger('http'), 'error', () => undefined);
      const handler = new RequestHandler(createComponents(isStream, overrides));
      let listenersLeft: number | undefined;
      let handled: Promise<void> | undefined;
      server.on('request', (req, res) => {
        const before = res.listenerCount('close');
        handled = handler.handle(req, res).then(() => {
          listenersLeft = res.listenerCount('close') - before;
        });
        handled.catch(() => res.destroy());
      });
      assert.deepEqual(await sendRequest(server), received);
      await handled;
      assert.equal(handler.inFlight, 0);
      assert.equal(listenersLeft, 0);
      assert.equal(logError.mock.callCount(), 1);
      const fields = logError.mock.calls[0]!.arguments[1] as object;
      assert.match(JSON.stringify(fields), /a defect/);
    });
  }

  for (const {action, act} of CLIENT_ACTIONS) {
    it(`counts a request whose response waits until the client ${action}`, async () => {
      const chunks = [LARGE_BODY];
      const connections = createConnections(async () =>
        succeed(chunks.shift()),
      );
      const handler = new RequestHandler(
        createComponents(false, {connections}),
      );
      const ended = new Promise<void>(resolve => {
        server.on('request', (req, res) => {
          res.on('prefinish', () => setImmediate(resolve));
          void handler.handle(req, res);
        });
      });
      const socket = await connectWithoutReading(server);
      await ended;
      assert.equal(handler.inFlight, 1);
      act(socket);
      await waitUntil(() => handler.inFlight === 0);
      socket.destroy();
    });
  }

  for (const {name, sent, version, expected} of RELAYED_CASES) {
    it(`answers ${expected.status} to ${name} relayed with version ${version}`, async () => {
      const handler = new RequestHandler(createRelayComponents());
      server.on('request', (req, res) => void handler.handleRelayed(req, res));
      const {statusCode, headers} = await relayRequest(server, sent, version);
      const outcome = headers[RelayHeader.Outcome];
      assert.deepEqual(
        {status: statusCode, outcome},
        {outcome: undefined, ...expected},
      );
    });
  }

  // A host of the build before relays these: it checks no key.
  it('answers 401 to a relayed request if the list of workspaces is empty', async () => {
    const handler = new RequestHandler(createRelayComponents([]));
    server.on('request', (req, res) => void handler.handleRelayed(req, res));
    const {statusCode, headers} = await relayRequest(
      server,
      KNOWN,
      CONFIG_VERSION,
    );
    const outcome = headers[RelayHeader.Outcome];
    assert.deepEqual({status: statusCode, outcome}, NO_KEY);
  });
});
