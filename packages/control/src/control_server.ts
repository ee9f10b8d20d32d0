import {createServer, type Server} from 'node:http';
import {serveRpc} from '@vanillamux/rpc';
import {
  EventKind,
  getLogger,
  listen,
  sleep,
  succeed,
  type Result,
} from '@vanillamux/shared';
import {collectDefaultMetrics, Gauge, Registry} from 'prom-client';
import {BackendRegistry} from './backend_registry.js';
import {ControlHost} from './control_host.js';
import {createControlRouter} from './control_router.js';
import type {ControlSettings} from './control_settings.js';
import {EntryFeed} from './entry_feed.js';
import {GroupJoiner} from './group_joiner.js';
import {MemberKeeper} from './member_keeper.js';
import {Publisher} from './publisher.js';
import {RegisterKeeper} from './register_keeper.js';

const log = getLogger('control');
/** Coarse, because each sample wakes an idle process. */
const EVENT_LOOP_SAMPLE_MS = 200;

/** A running control host. */
export class ControlServer {
  private readonly stopping = new AbortController();

  private constructor(
    readonly host: ControlHost,
    readonly publisher: Publisher,
    readonly backends: BackendRegistry,
    private readonly server: Server,
    private readonly closeRpc: () => void,
  ) {}

  /** Opens the data folder, listens, and joins or forms the group. */
  static async start(
    settings: ControlSettings,
  ): Promise<Result<ControlServer>> {
    const opened = await ControlHost.open(settings);
    if (!opened.ok) return opened;
    const host = opened.value;
    const keeper = new MemberKeeper(host);
    const server = createHttpServer(host);
    const publisher = new Publisher(host);
    const backends = new BackendRegistry(settings);
    const feed = new EntryFeed(host, backends);
    const router = createControlRouter({host, keeper, publisher, feed});
    const closeRpc = serveRpc(server, router);
    const bound = await listen(server, settings.listen);
    if (!bound.ok) {
      await host.close();
      return bound;
    }
    const running = new ControlServer(
      host,
      publisher,
      backends,
      server,
      closeRpc,
    );
    host.timeline.add(EventKind.Started, `control host ${settings.id}`);
    const {signal} = running.stopping;
    const joiner = new GroupJoiner(host);
    void joiner.run(signal).then(() => {
      if (signal.aborted) return;
      host.node.start();
      if (settings.discovery) void joiner.watch(signal);
      else joiner.close();
    });
    void keeper.run(signal);
    void expireBackends(backends, settings.heartbeatMs, signal);
    void new RegisterKeeper(host).run(signal);
    log.info('Listening.', {address: settings.listen.host, port: bound.value});
    return succeed(running);
  }

  /** Stops serving and closes the files. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.closeRpc();
    this.publisher.close();
    this.server.close();
    this.server.closeAllConnections();
    await this.host.close();
  }
}

async function expireBackends(
  backends: BackendRegistry,
  heartbeatMs: number,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await sleep(heartbeatMs, signal);
    backends.expire();
  }
}

function createHttpServer(host: ControlHost): Server {
  const registry = createMetrics(host);
  return createServer((req, res) => {
    if (req.url === '/healthz') {
      res.end('ok\n');
    } else if (req.url === '/metrics') {
      void registry.metrics().then(text => res.end(text));
    } else {
      res.writeHead(404).end('not found\n');
    }
  });
}

function createMetrics(host: ControlHost): Registry {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
  });
  const gauges: Array<[string, string, () => number]> = [
    ['vmux_control_term', 'Present term.', () => host.node.status().term],
    [
      'vmux_control_applied_index',
      'Last applied log index.',
      () => host.node.status().appliedIndex,
    ],
    [
      'vmux_control_declared_version',
      'Version of the declarations in force.',
      () => host.machine.declared.current.version,
    ],
  ];
  for (const [name, help, read] of gauges) {
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
  return registry;
}
