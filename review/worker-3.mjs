// Stand-in worker: speaks the protocol of the pages and answers as its plan says.
import {createServer, request as httpRequest} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const born = Date.now();
const ACK_TIMEOUT_MS = 1_000;
let plan;
let phase = 'ready';
let sequence = 0;
let callee = 0;
let nextAddress;
let running = 0;
const tell = message => process.send?.(message);

function call(url, body) {
  return new Promise(resolve => {
    const req = httpRequest(url, {method: 'POST', agent: false}, res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', part => (text += part));
      res.on('end', () => resolve({status: res.statusCode, text}));
      res.on('error', () => resolve({status: 0, text: ''}));
    });
    req.setTimeout(ACK_TIMEOUT_MS, () => req.destroy());
    req.on('error', () => resolve({status: 0, text: ''}));
    req.setHeader('Content-Type', 'application/json');
    req.end(JSON.stringify(body));
  });
}

function report() {
  const isModel = plan.service === 'lm-pool';
  return {
    backend: plan.service,
    address: plan.address,
    zone_name: plan.zone,
    version: 'v1',
    capacity: isModel ? 11 : 6,
    phase,
    cold_left_ms: 0,
    born,
    sequence: ++sequence,
    ...(isModel
      ? {
          phase_type: 'combined',
          model_list: [{name: 'm', version: 1, adapters: []}],
        }
      : {}),
  };
}

/** Checks in with one control host after the other until one acknowledges. */
async function beat() {
  const body = report();
  const reported = phase;
  for (let turn = 0; turn <= plan.controls.length; turn++) {
    const base = nextAddress ?? plan.controls[callee % plan.controls.length];
    const path = ['', '-', 'workers', plan.id, 'heartbeat'].join('/');
    const reply = await call(base + path, body);
    if (reply.status === 200) {
      const {heartbeat_addr: address} = JSON.parse(reply.text);
      nextAddress = address ? `http://${address}` : undefined;
      return tell({kind: 'ack', by: base, phase: reported});
    }
    if (nextAddress === undefined) callee++;
    nextAddress = undefined;
  }
}

async function beats() {
  for (;;) {
    await beat();
    await sleep(plan.heartbeatMs);
  }
}

/** Sends events, without a length where the plan says so. */
async function stream(req, res, id) {
  const {events = 8, gapMs = 50, unframed = false, isQuiet = false} = plan;
  const first = Number(req.headers['last-event-id'] ?? 0) + 1;
  if (!isQuiet)
    tell({
      kind: 'run',
      id,
      text: `runs ${id} ${req.url} from event ${first} of ${events}`,
    });
  if (unframed) res.useChunkedEncodingByDefault = false;
  res.writeHead(200, {
    ...headers(id),
    'Content-Type': 'text/event-stream',
  });
  for (let event = first; event <= events; event++) {
    if (gapMs > 0) await sleep(gapMs);
    if (res.destroyed) return;
    res.write(`id: ${event}\ndata: piece ${event} of ${events}\n\n`);
  }
  res.end();
  if (!isQuiet)
    tell({kind: 'run', id, text: `ends ${id} after event ${events}`});
}

/** Sends the two halves of a body, with a pause between them. */
async function respond(req, res, id) {
  const {workMs = 43, pauseMs = 0, unframed = false, isQuiet = false} = plan;
  if (!isQuiet)
    tell({kind: 'run', id, text: `runs ${id} ${req.method} ${req.url}`});
  if (workMs > 0) await sleep(workMs);
  if (unframed) res.useChunkedEncodingByDefault = false;
  const half = 'x'.repeat(400);
  res.writeHead(200, {
    ...headers(id),
    ...(unframed ? {} : {'Content-Length': 800}),
  });
  res.write(half);
  if (pauseMs > 0) await sleep(pauseMs);
  res.end(half);
  if (!isQuiet) tell({kind: 'run', id, text: `ends ${id}`});
}

function headers(id) {
  const isModel = plan.service === 'lm-pool';
  return {
    'Attempt-Id': id,
    'Worker-Signature': `${plan.id}.${born}`,
    'Worker-Load': `${running},0,${isModel ? 11 : 6}`,
    ...(phase === 'draining'
      ? {'Server-Leaving': '1', Connection: 'close'}
      : {}),
  };
}

function readBody(req) {
  return new Promise((resolve, reject) => {
    req.on('end', resolve).on('error', reject).resume();
  });
}

async function handle(req, res) {
  const expected = req.headers['expected-instance'];
  if (expected !== undefined && expected !== plan.id) {
    res.writeHead(421, {'Not-Executed': '1'}).end();
    return;
  }
  if (req.url === '/-/report') {
    const body = JSON.stringify({born, phase_type: 'combined', sequence: 0});
    res.writeHead(200, {'Content-Type': 'application/json'}).end(body);
    return;
  }
  if (req.url === '/healthz') {
    const status = phase === 'draining' ? 503 : 200;
    res.writeHead(status, {'Instance-Id': plan.id}).end();
    return;
  }
  const id = String(req.headers['attempt-id']);
  await readBody(req);
  running++;
  await (plan.service === 'lm-pool'
    ? stream(req, res, id)
    : respond(req, res, id));
  running--;
}

process.on('message', message => {
  if (message.kind === 'start') {
    plan = message;
    const [host, port] = plan.address.split(':');
    createServer((req, res) => {
      handle(req, res).catch(() => res.destroy());
    }).listen(Number(port), host, () => {
      tell({kind: 'started'});
      void beats();
    });
  }
  if (message.kind === 'drain') {
    phase = 'draining';
    void beat();
  }
});
process.on('disconnect', () => process.exit(0));
