// Runs a small deployment of the project's programs beside stand-in workers, on
// loopback addresses, for the cases of the third review.
import {fork, spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const REVIEW = dirname(fileURLToPath(import.meta.url));
const ROOT = dirname(REVIEW);
const WORKER = join(REVIEW, 'worker-3.mjs');
/** Ports of the hosts, each of which has a loopback address of its own. */
const PORTS = {
  peers: 7340,
  control: 8229,
  client: 8227,
  ready: 8220,
  metrics: 9464,
  worker: 8080,
  reservation: 7399,
};
const RUN_LIMIT_MS = 115_000;
const HEARTBEAT_MS = 1_200;
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const HOST = 'main.example';
export const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Exit codes of a case. */
export const BROKEN = 1;
export const HELD = 0;
export const COULD_NOT_RUN = 2;

export {sleep};
export const hasTrouble = process.env.TROUBLE !== '0';
const startedMs = performance.now();
export const nowMs = () => performance.now() - startedMs;

/** Reads the command of a role from the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** Resolves to a listening server, or to undefined if the port is in use. */
function tryListen(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve());
    server.listen(port, host, () => resolve(server.unref()));
  });
}

async function canListen(host, port) {
  const server = await tryListen(host, port);
  if (server) await new Promise(resolve => server.close(resolve));
  return server !== undefined;
}

/** A small deployment: three zones, with bounds like those of the small sites. */
export class Deployment {
  processes = new Set();
  folder = mkdtempSync(join(tmpdir(), 'vmux-review-'));
  controls = [];
  gateways = [];
  workers = [];
  workerCount = 0;

  constructor(caseFolder) {
    this.recordFile = join(caseFolder, 'record.txt');
    writeFileSync(this.recordFile, '');
  }

  /** Writes a line to the record of the case. */
  note(text) {
    const line = `${(nowMs() / 1_000).toFixed(3).padStart(8)} s  ${text}\n`;
    appendFileSync(this.recordFile, line);
  }

  /** Chooses a loopback network on which the ports are free. */
  async chooseNetwork() {
    for (let attempt = 0; attempt < 50; attempt++) {
      const network = `127.${2 + Math.floor(Math.random() * 250)}`;
      // Held until the end, so that a case beside this one takes another network.
      const reservation = await tryListen(`${network}.4.1`, PORTS.reservation);
      if (!reservation) continue;
      const hosts = [1, 2, 3].map(number => `${network}.${number}.1`);
      const free = await Promise.all(
        Object.values(PORTS).flatMap(port =>
          hosts.map(host => canListen(host, port)),
        ),
      );
      this.network = network;
      if (free.every(Boolean)) return;
      reservation.close();
    }
    throw new Error('no free loopback network');
  }

  spawnRole(role, name, settings) {
    const [program, ...args] = commandOf(role);
    const file = join(this.folder, `${name}.yaml`);
    // JSON is valid YAML.
    writeFileSync(file, JSON.stringify(settings));
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        VANILLAMUX_NODE_FILE: file,
      },
      stdio: ['ignore', log, log],
    });
    this.track(child, name);
    return child;
  }

  track(child, name) {
    this.processes.add(child);
    child.once('exit', (code, signal) => {
      this.processes.delete(child);
      if (!this.isStopping)
        this.note(`process ${name} ended (code ${code}, signal ${signal})`);
      child.hasEnded = true;
    });
  }

  get seeds() {
    return this.controls.slice(0, 3).map(({ip}) => `${ip}:${PORTS.control}`);
  }

  /** Describes control hosts; they are started by `startControl`. */
  planControls(count) {
    for (let index = 0; index < count; index++) {
      this.controls.push({
        name: `core-${index + 1}`,
        ip: `${this.network}.1.${index + 1}`,
        zone: ZONES[index % ZONES.length],
        bootstrap: true,
      });
    }
  }

  startControl(control) {
    const {name, ip, zone, bootstrap} = control;
    const dataFolder = join(this.folder, `${name}-data`);
    mkdirSync(dataFolder, {recursive: true});
    control.child = this.spawnRole('control', name, {
      id: name,
      failureDomain: zone,
      listen: control.listen ?? `${ip}:${PORTS.peers}`,
      ...(control.advertise ? {advertise: control.advertise} : {}),
      api: `${ip}:${PORTS.control}`,
      metrics: `${ip}:${PORTS.metrics}`,
      dataFolder,
      discovery: {seeds: this.seeds, peerPort: PORTS.peers, bootstrap},
      heartbeatMs: HEARTBEAT_MS,
      logFormat: 'json',
    });
    control.api = `http://${ip}:${PORTS.control}`;
    control.bootstrap = false;
  }

  /** Kills a control host and takes its disk; it may be started again. */
  loseDisk(control) {
    control.child.kill('SIGKILL');
    const folder = join(this.folder, `${control.name}-data`);
    // Moved, as removing it takes seconds where the machine is busy.
    renameSync(folder, `${folder}-lost`);
  }

  startGateway(index) {
    const name = `edge-${index + 1}`;
    const ip = `${this.network}.2.${index + 1}`;
    const zone = ZONES[index % ZONES.length];
    const gateway = {name, ip, zone};
    gateway.child = this.spawnRole('gateway', name, {
      id: name,
      failureDomain: zone,
      regionByFailureDomain: Object.fromEntries(
        ZONES.map(other => [other, 'region']),
      ),
      listen: `${ip}:${PORTS.client}`,
      readiness: `${ip}:${PORTS.ready}`,
      metrics: `${ip}:${PORTS.metrics}`,
      peers: `${ip}:${PORTS.peers}`,
      seeds: this.seeds,
      peerPort: PORTS.peers,
      retries: {ratio: 0.2, windowS: 10, allowance: 100},
      sharesFailures: false,
      waitsAfterRestart: false,
      coldBackends: {overshoot: null, allowance: null},
      graceS: 8,
      logFormat: 'json',
    });
    this.gateways[index] = gateway;
    return gateway;
  }

  /** Starts a worker, which reports to the control hosts by itself. */
  async startWorker(service, zone, options = {}) {
    const number = ++this.workerCount;
    const id = options.id ?? `w-${number}`;
    const ip = options.ip ?? `${this.network}.3.${number}`;
    const child = fork(WORKER, [], {
      cwd: ROOT,
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.track(child, id);
    const worker = {id, ip, zone, service, child, runs: [], acks: []};
    worker.started = new Promise((resolve, reject) => {
      worker.onStarted = resolve;
      child.once('exit', () => reject(new Error(`${id} could not start`)));
    });
    child.on('message', message => this.receive(worker, message));
    child.send({
      kind: 'start',
      id,
      address: `${ip}:${PORTS.worker}`,
      service,
      zone,
      heartbeatMs: HEARTBEAT_MS,
      controls: (options.controls ?? this.controls).map(({api}) => api),
      ...options.plan,
    });
    this.workers.push(worker);
    await worker.started;
    return worker;
  }

  receive(worker, message) {
    if (message.kind === 'started') worker.onStarted();
    if (message.kind === 'run') {
      worker.runs.push(message);
      this.note(`worker ${worker.id} ${message.text}`);
    }
    if (message.kind === 'ack') {
      worker.acks.push({...message, atMs: nowMs()});
      if (worker.phase !== message.phase || worker.by !== message.by)
        this.note(
          `${message.by} acknowledges to ${worker.id}: ${message.phase}`,
        );
      worker.phase = message.phase;
      worker.by = message.by;
    }
  }

  /** Publishes a configuration, trying one control host after the other. */
  async publish(configuration, timeoutMs = 15_000) {
    const endMs = nowMs() + timeoutMs;
    for (let turn = 0; nowMs() < endMs; turn++) {
      const {api, name} = this.controls[turn % this.controls.length];
      const reply = await send(`${api}/-/configuration/replace`, {
        method: 'POST',
        headers: {'Content-Type': 'application/json'},
        body: JSON.stringify(configuration),
        timeoutMs: 1_000,
      });
      if (reply.status === 200) {
        this.note(`${name} acknowledges version ${configuration.version}`);
        return;
      }
      await sleep(200);
    }
    throw new Error(`version ${configuration.version} was not acknowledged`);
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endMs = nowMs() + timeoutMs;
    for (const {ip} of this.gateways) {
      for (;;) {
        const reply = await send(`http://${ip}:${PORTS.ready}/-/readyz`, {
          timeoutMs: 500,
        });
        if (reply.status === 200) break;
        if (nowMs() > endMs) throw new Error('a gateway is not ready');
        await sleep(100);
      }
    }
  }

  /** Sends a request of a client to a gateway and reads the whole response. */
  request(gateway, path, options = {}) {
    const id = Math.random().toString(16).slice(2).padEnd(14, '0');
    return send(`http://${gateway.ip}:${PORTS.client}${path}`, {
      ...options,
      id,
      headers: {
        Host: HOST,
        'Attempt-Id': id,
        'Deadline-Ms': String(options.deadlineMs ?? 5_000),
        'X-Api-Key': KEY,
        ...options.headers,
      },
      timeoutMs: options.deadlineMs ?? 5_000,
    });
  }

  /** Ends every process that was started, and removes the folder. */
  async stop() {
    this.isStopping = true;
    for (const child of this.processes) child.kill('SIGKILL');
    while (this.processes.size > 0) await sleep(20);
    if (process.env.KEEP) process.stdout.write(`${this.folder}\n`);
    else rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Sends a request on a connection of its own; status 0 stands for no response. */
export function send(url, options = {}) {
  const {method = 'GET', headers = {}, body, timeoutMs = 5_000, id} = options;
  return new Promise(resolve => {
    const reply = {
      id,
      status: 0,
      headers: {},
      body: '',
      isComplete: false,
      sentMs: nowMs(),
    };
    const req = httpRequest(url, {method, headers, agent: false});
    const timer = setTimeout(() => {
      finish(new Error('timeout'));
      req.destroy();
    }, timeoutMs);
    function finish(error) {
      clearTimeout(timer);
      reply.error ??= error && String(error.message);
      reply.endMs ??= nowMs();
      resolve(reply);
    }
    req.on('response', res => {
      reply.status = res.statusCode;
      reply.headers = res.headers;
      res.setEncoding('utf8');
      res.on('data', text => (reply.body += text));
      res.on('end', () => {
        reply.isComplete = res.complete;
        finish();
      });
      res.on('error', finish);
      res.on('close', () =>
        finish(res.complete ? undefined : new Error('cut')),
      );
    });
    req.on('error', finish);
    req.end(body);
  });
}

const RUNTIME = {
  capacity: 11,
  kv_capacity: 232_000,
  kv_bytes: 327_680,
  link_mbps: 400_000,
  steps_per_pass: 43,
  model_list: [{name: 'm'}],
  step_ms: 1.02,
  per_seq_ms: 0.003,
  context_per_k: 0.00431,
  read_per_s: 206_000,
  pairs_per_m: 0.138,
  chunk: 2_048,
  report_lag_ms: 200,
  load_rate_s: 0,
  loads_at_once: 8,
  delays: [],
  usual: {prompt: 12_331, answer: 1_303},
  hop_latency_ms: 0.075,
};

export function route(prefix, kind, fields) {
  return {
    name: `r${prefix.replaceAll('/', '-')}`,
    hostname: HOST,
    path_prefix: prefix,
    route_type: kind,
    timeout_ms: 10_000,
    latency_goal_ms: 300,
    priority_level: 1,
    max_attempts: 1,
    anonymous: false,
    ...fields,
  };
}

/** A configuration with the kinds of requests of the small sites. */
export function configuration(version, fields = {}) {
  return {
    version,
    routes: [
      route('/note/', 'streaming', {
        backend: 'lm-pool',
        max_attempts: 2,
        sticky_sessions: true,
        resumable: true,
        target_gap_ms: 250,
      }),
      route('/audit/', 'streaming', {
        backend: 'lm-pool',
        timeout_ms: 15_000,
        latency_goal_ms: 3_000,
        max_attempts: 2,
        sticky_sessions: true,
        resumable: true,
        target_gap_ms: 1_000,
      }),
      route('/claim/', 'non_idempotent', {
        backend: 'claims-app',
        timeout_ms: 2_500,
        latency_goal_ms: 193,
        priority_level: 2,
      }),
      route('/balance/', 'idempotent', {
        backend: 'claims-app',
        timeout_ms: 2_500,
        latency_goal_ms: 193,
        priority_level: 2,
        max_attempts: 2,
      }),
    ],
    backends: [
      {
        name: 'lm-pool',
        health_path: '/healthz',
        max_conns: 354,
        protocol: 'h1',
        tls_enabled: false,
        runtime: RUNTIME,
      },
      {
        name: 'claims-app',
        health_path: '/healthz',
        max_conns: 96,
        protocol: 'h1',
        tls_enabled: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenant_list: [{name: 'desk', api_keys: [KEY], priority_level: 1}],
    ...fields,
  };
}

/** Runs a case: `run` resolves to whether the rule was broken. */
export async function runCase(folder, run) {
  const deployment = new Deployment(folder);
  let code = COULD_NOT_RUN;
  try {
    await deployment.chooseNetwork();
    deployment.note(hasTrouble ? 'with the disruption' : 'without it');
    const limit = sleep(RUN_LIMIT_MS).then(() => {
      throw new Error('the run took too long');
    });
    code = (await Promise.race([run(deployment), limit])) ? BROKEN : HELD;
    deployment.note(code === BROKEN ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    deployment.note(`could not run: ${error.stack}`);
  }
  await deployment.stop();
  process.exit(code);
}
