import {createServer, type Server} from 'node:http';
import {MemberRole, RaftRole} from '@vanillamux/consensus';
import {serveRpc} from '@vanillamux/rpc';
import {
  EventKind,
  getLogger,
  listen,
  sleep,
  succeed,
  type Result,
} from '@vanillamux/shared';
import {collectDefaultMetrics, Registry} from 'prom-client';
import {addGauge} from './add_gauge.js';
import {BackendCensus} from './backend_census.js';
import {BackendRegistry} from './backend_registry.js';
import {ControlHost} from './control_host.js';
import {createControlRouter} from './control_router.js';
import type {ControlSettings} from './control_settings.js';
import {EntryHostFeed} from './entry_host_feed.js';
import {Evacuator} from './evacuator.js';
import {GroupJoiner} from './group_joiner.js';
import {GroupLeaver} from './group_leaver.js';
import {LeaderCaller} from './leader_caller.js';
import {LoadReporter} from './load_reporter.js';
import {MembershipManager} from './membership_manager.js';
import {Publisher} from './publisher.js';
import {ReportReceiver} from './report_receiver.js';
import {ReservationExpirer} from './reservation_expirer.js';

const log = getLogger('control');
const MS_PER_SECOND = 1_000;
/** Silence of a voter from which on it is counted as silent. */
const SILENT_VOTER_MS = 2_000;
/** Long, because each sample wakes an idle process. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 200;

/** Serves RPC calls and metrics of a control host and runs its tasks. */
export class ControlServer {
  private readonly stopping = new AbortController();

  private constructor(
    readonly host: ControlHost,
    private readonly membershipManager: MembershipManager,
    readonly publisher: Publisher,
    readonly evacuator: Evacuator,
    private readonly leaderCaller: LeaderCaller,
    readonly reports: ReportReceiver,
    private readonly httpServers: readonly Server[],
    private readonly closeRpc: () => void,
    /** Aborted first, as a host that leaves its group must not join again. */
    private readonly leaving: AbortController,
  ) {}

  /** Opens the data folder, listens, and starts to join or form the group. */
  static async start(
    settings: ControlSettings,
  ): Promise<Result<ControlServer>> {
    const {dataFolder, heartbeatMs} = settings;
    const [hostResult, census] = await Promise.all([
      ControlHost.open(settings),
      BackendCensus.open(dataFolder, heartbeatMs),
    ]);
    if (!hostResult.ok) return hostResult;
    const host = hostResult.value;
    const membershipManager = new MembershipManager(host);
    const leaderCaller = new LeaderCaller(host);
    const publisher = new Publisher(host, leaderCaller);
    const evacuator = new Evacuator(host, leaderCaller);
    const backends = new BackendRegistry(settings);
    const leaving = new AbortController();
    const feed = new EntryHostFeed(host, backends, census);
    const server = createHttpServer(host, backends, feed);
    const router = createControlRouter({
      host,
      membershipManager,
      publisher,
      evacuator,
      feed,
    });
    const closeRpc = serveRpc(server, router);
    const listenResult = await listen(server, settings.listen);
    if (!listenResult.ok) {
      await host.close();
      return listenResult;
    }
    const httpServers = [server];
    if (settings.metrics) {
      const metricsServer = createHttpServer(host, backends, feed);
      const metricsListenResult = await listen(metricsServer, settings.metrics);
      if (!metricsListenResult.ok) {
        server.close();
        await host.close();
        return metricsListenResult;
      }
      httpServers.push(metricsServer);
    }
    const controlServer = new ControlServer(
      host,
      membershipManager,
      publisher,
      evacuator,
      leaderCaller,
      new ReportReceiver(host, backends, leaving.signal),
      httpServers,
      closeRpc,
      leaving,
    );
    host.timeline.add(EventKind.Started, `control host ${settings.id}`);
    const {signal} = controlServer.stopping;
    void controlServer.joinGroup();
    void membershipManager.run(signal);
    void census.run(signal);
    void expireBackends(backends, settings.heartbeatMs, signal);
    void new ReservationExpirer(host).run(signal);
    void new LoadReporter(feed, backends).run(signal);
    log.info('Listening.', {
      address: settings.listen.host,
      port: listenResult.value,
    });
    return succeed(controlServer);
  }

  /** Leaves the group if that is safer, and stops everything. */
  async stop(): Promise<void> {
    this.leaving.abort();
    await new GroupLeaver(this.host, this.membershipManager).leave();
    this.stopping.abort();
    this.closeRpc();
    this.leaderCaller.close();
    for (const server of this.httpServers) {
      server.close();
      server.closeAllConnections();
    }
    await this.host.close();
  }

  private async joinGroup(): Promise<void> {
    const {host} = this;
    const {signal} = this.leaving;
    const hadGroup = host.hasGroup;
    const groupJoiner = new GroupJoiner(host);
    await groupJoiner.run(signal);
    if (signal.aborted) return groupJoiner.close();
    host.node.start();
    if (!host.settings.discovery) return groupJoiner.close();
    if (hadGroup) await groupJoiner.rejoinAfterStart();
    await groupJoiner.rejoinWhenRemoved(signal);
  }
}

function countSilentVoters({node}: ControlHost): number {
  return node
    .status()
    .members.filter(
      ({role, silentMs = 0}) =>
        role === MemberRole.Voter && silentMs > SILENT_VOTER_MS,
    ).length;
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

function createHttpServer(
  host: ControlHost,
  backends: BackendRegistry,
  feed: EntryHostFeed,
): Server {
  const registry = createMetricsRegistry(host, backends, feed);
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

function createMetricsRegistry(
  host: ControlHost,
  backends: BackendRegistry,
  feed: EntryHostFeed,
): Registry {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
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
      () => host.stateMachine.declared.current.version,
    ],
    [
      'vmux_control_published_version',
      'Version of the published document; -1 before the first.',
      () => host.stateMachine.published.version,
    ],
    [
      'vmux_control_emptied_domains',
      'Failure domains that operators have emptied.',
      () => host.stateMachine.evacuation.view.failureDomains.length,
    ],
    [
      'vmux_control_is_leader',
      '1 on the leader of the group.',
      () => Number(host.node.status().role === RaftRole.Leader),
    ],
    [
      'vmux_control_members',
      'Members of the group, learners included.',
      () => host.node.status().members.length,
    ],
    [
      'vmux_control_silent_voters',
      'Voters that the leader has not heard for 2 s; 0 on the others.',
      () => countSilentVoters(host),
    ],
    [
      'vmux_control_leader_silent_seconds',
      'Time since the leader was heard; 0 on a leader with a lease.',
      () => host.node.status().leaderSilentMs / MS_PER_SECOND,
    ],
    [
      'vmux_control_backends',
      'Backend servers that report to this host and have not left.',
      () => backends.size,
    ],
    [
      'vmux_control_heartbeats',
      'Heartbeats of backend servers since the start.',
      () => backends.heartbeats,
    ],
    [
      'vmux_control_polls_answered',
      'Polls of entry hosts that were answered since the start.',
      () => feed.counts.answers,
    ],
    [
      'vmux_control_polls_waiting',
      'Polls of entry hosts that wait for their turn to be answered.',
      () => feed.waitingPolls,
    ],
    [
      'vmux_control_batches',
      'Batches of changes for entry hosts since the start.',
      () => feed.counts.batches,
    ],
    [
      'vmux_control_encodings',
      'Times that changes or a document were encoded for entry hosts.',
      () => feed.counts.encodings,
    ],
    [
      'vmux_control_documents_sent',
      'Documents that were sent to entry hosts since the start.',
      () => feed.counts.documents,
    ],
  ];
  for (const [name, help, readValue] of gauges) {
    addGauge(registry, name, help, readValue);
  }
  return registry;
}
