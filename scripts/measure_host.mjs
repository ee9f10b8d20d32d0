// Prints the processor time of one entry host and one control host beside the
// messages of a fleet, which this process plays. Needs `node scripts/build.mjs`
// and `node scripts/bundle.mjs`. Options: --hosts 75 --seconds 20 --target DIR
// --flags="V8 FLAGS" --profile DIR
import {mkdtempSync} from 'node:fs';
import {createServer, request, Agent} from 'node:http';
import console from 'node:console';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {parseArgs} from 'node:util';
import {findFreePorts} from '@vanillamux/fleet';
import {sleep} from '@vanillamux/shared';
import {
  endMeasured,
  peakKb,
  startMeasured,
  usedMs,
} from './measured_process.mjs';
import {PlayedPeers} from './played_peers.mjs';
import {createWireConfiguration} from '../platform/dist/__tests__/support/create_wire_configuration.js';

const {values} = parseArgs({
  options: {
    hosts: {type: 'string', default: '75'},
    seconds: {type: 'string', default: '20'},
    target: {type: 'string', default: 'target'},
    flags: {type: 'string', default: ''},
    profile: {type: 'string'},
  },
});
const HOSTS = Number(values.hosts);
const SECONDS = Number(values.seconds);
const DOMAINS = ['fd-a', 'fd-b', 'fd-c'];
const CONTROL_HOSTS = 3;
const ENGINES = 70;
/** Requests to engines a second and host, as the users' large sheets have. */
const REQUESTS_PER_HOST_AND_S = 1;
const RESPONSE_MS = 1_400;
const EVENTS = 33;
const HEARTBEAT_MS = 1_200;
const MS_PER_SECOND = 1_000;
const PUBLISH_RETRY_MS = 100;
const MAX_PUBLISH_ATTEMPTS = 200;

const folder = mkdtempSync(join(tmpdir(), 'vmux-measure-host-'));
const [rpcPort, enginePort, ...ports] = await findFreePorts(
  5 + CONTROL_HOSTS + HOSTS,
);
const [listen, readiness, metrics] = ports.splice(0, 3);
const apiPorts = ports.splice(0, CONTROL_HOSTS);
const agent = new Agent({keepAlive: true});

function send(port, path, method, body, headers = {}) {
  return new Promise(resolve => {
    const req = request(
      {host: '127.0.0.1', port, path, method, headers, agent},
      res => res.resume().on('end', () => resolve(res.statusCode)),
    );
    req.on('error', () => resolve(0));
    req.end(body);
  });
}

const engine = createServer((req, res) => {
  req.resume();
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'attempt-id': req.headers['attempt-id'] ?? '',
    'worker-signature': req.headers['worker-id'] ?? 'engine-0',
  });
  let id = 0;
  const timer = setInterval(() => {
    if (id++ < EVENTS)
      return void res.write(`id: ${id}\ndata: piece ${id}\n\n`);
    clearInterval(timer);
    res.end();
  }, RESPONSE_MS / EVENTS);
  res.on('close', () => clearInterval(timer));
});
engine.listen(enginePort, '127.0.0.1');

const flags = values.flags.split(' ').filter(Boolean);
const controls = apiPorts.map((api, index) =>
  startMeasured({
    binary: join(values.target, 'vmux-platform-control.cjs'),
    folder,
    flags,
    settings: {
      id: `control-${index}`,
      failureDomain: DOMAINS[index % DOMAINS.length],
      listen: `127.0.0.${index + 1}:${rpcPort}`,
      api: `127.0.0.1:${api}`,
      dataFolder: mkdtempSync(join(folder, 'disk-')),
      discovery: {
        seeds: apiPorts.map((_, seed) => `127.0.0.${seed + 1}:1`),
        peerPort: rpcPort,
        bootstrap: true,
      },
      heartbeatMs: HEARTBEAT_MS,
    },
  }),
);
const gateway = startMeasured({
  binary: join(values.target, 'vmux-platform-gateway.cjs'),
  folder,
  settings: {
    id: 'entry-0',
    failureDomain: DOMAINS[0],
    listen: `127.0.0.1:${listen}`,
    readiness: `127.0.0.1:${readiness}`,
    metrics: `127.0.0.1:${metrics}`,
    peers: `127.0.0.1:${ports[0]}`,
    seeds: apiPorts.map((_, seed) => `127.0.0.${seed + 1}:1`),
    peerPort: rpcPort,
  },
  flags: values.profile
    ? [...flags, '--cpu-prof', `--cpu-prof-dir=${values.profile}`]
    : flags,
});

// Heartbeats of the engines, spread over the control hosts.
let sequence = 0;
function sendHeartbeat(index) {
  const body = JSON.stringify({
    backend: 'engine',
    address: `127.0.0.1:${enginePort}`,
    zone_name: DOMAINS[index % DOMAINS.length],
    version: 'v1',
    capacity: 11,
    phase: 'ready',
    sequence: ++sequence,
    born: 1,
  });
  const api = apiPorts[index % CONTROL_HOSTS];
  return send(api, `/-/workers/engine-${index}/heartbeat`, 'POST', body);
}
const config = JSON.stringify(createWireConfiguration());
let status = 0;
for (let attempt = 0; status !== 200; attempt++) {
  if (attempt === MAX_PUBLISH_ATTEMPTS) throw new Error('no control host');
  status = await send(apiPorts[0], '/-/configuration/replace', 'POST', config);
  if (status !== 200) await sleep(PUBLISH_RETRY_MS);
}
for (let index = 0; index < ENGINES; index++) {
  setTimeout(
    () => {
      void sendHeartbeat(index);
      setInterval(() => void sendHeartbeat(index), HEARTBEAT_MS);
    },
    (HEARTBEAT_MS * index) / ENGINES,
  );
}

const fleet = new PlayedPeers({
  ports: ports.slice(1),
  gatewayPort: ports[0],
  controlHosts: apiPorts.map((_, index) => `127.0.0.${index + 1}`),
  rpcPort,
  engines: ENGINES,
  responseMs: RESPONSE_MS,
  domains: DOMAINS,
});

const headers = {
  host: 'main.example',
  'x-api-key': 'key-1',
  'deadline-ms': '10000',
};
const body = JSON.stringify({prompt: 'x'.repeat(200)});
const statuses = {};
async function sendRequest(index) {
  const status = await send(listen, '/stream/engine/x', 'POST', body, {
    ...headers,
    'attempt-id': `attempt-${index}`,
  });
  statuses[status] = (statuses[status] ?? 0) + 1;
}

async function measure(name, {notices = false, requests = 0}) {
  const timers = [];
  if (notices)
    timers.push(
      setInterval(
        () => fleet.place(),
        MS_PER_SECOND / (fleet.size * REQUESTS_PER_HOST_AND_S),
      ),
    );
  if (requests > 0) timers.push(setInterval(sendRequest, 1_000 / requests, 0));
  await sleep(RESPONSE_MS + 600);
  const read = () => [
    ...usedMs(gateway),
    ...usedMs(controls[0]),
    fleet.sentNotices,
    fleet.received,
    fleet.receivedBytes,
    gateway.logLines,
  ];
  const before = read();
  await sleep(SECONDS * MS_PER_SECOND);
  const after = read();
  for (const timer of timers) clearInterval(timer);
  const [own, kernel, controlOwn, controlKernel, sent, got, bytes, lines] =
    after.map((value, index) => ((value - before[index]) / SECONDS).toFixed(1));
  console.log(
    `${name}: entry host ${own} + ${kernel} ms/s, control host ${controlOwn} + ${controlKernel} ms/s,` +
      ` notices to it ${sent}/s, from it ${got}/s, ${bytes} B/s, log lines ${lines}/s`,
  );
  await sleep(RESPONSE_MS + 600);
}

await sleep(6_000);
console.log(
  `${HOSTS} hosts; own code + kernel, start ${usedMs(gateway).join(' + ')} ms`,
);
await measure('at rest', {});
await measure('own requests', {requests: REQUESTS_PER_HOST_AND_S});
await measure("peers' notices", {notices: true});
await measure('both', {notices: true, requests: REQUESTS_PER_HOST_AND_S});
console.log(`peak memory of the entry host ${peakKb(gateway)} KB`);
console.log('responses', JSON.stringify(statuses));
// Time to write a profile.
endMeasured();
await sleep(4_000);
process.exit();
