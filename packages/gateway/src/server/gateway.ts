import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Recorder, type BackendCounts, type Census} from '@vanillamux/control';
import type {
  EntryPeer,
  EvacuationView,
  PublishedDocument,
} from '@vanillamux/protocol';
import {
  acceptArrived,
  ClientServer,
  type ClientServerOptions,
  getLogger,
  HybridClock,
  listen,
  monotonicMs,
  pollIo,
  sleep,
  succeed,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {AdmissionPolicies} from '../admission/admission_policies.js';
import {ByteBudget} from '../bytes/byte_budget.js';
import {ColdBackends} from '../cold_backends/cold_backends.js';
import {ConnectionPools} from '../connection/connection_pools.js';
import {ProcessChecks} from '../connection/process_checks.js';
import type {ResolveAddress} from '../connection/resolve_address.js';
import type {Dialect} from '../dialect/dialect.js';
import {DepartureManager} from '../departures/departure_manager.js';
import {FailingBackends} from '../failing_backends/failing_backends.js';
import {EvacuationManager} from '../evacuation/evacuation_manager.js';
import {BackendPool, type ReportBatch} from '../fleet/backend_pool.js';
import {BackendSignals} from '../fleet/backend_signals.js';
import {HomePolicy} from '../homes/home_policy.js';
import {KnownBackends} from '../known_backends/known_backends.js';
import {ConfigStore} from '../link/config_store.js';
import {ControlLinks} from '../link/control_links.js';
import type {LinkListener} from '../link/link_listener.js';
import {MemoryReservationManager} from '../memory/memory_reservation_manager.js';
import {PlacementPolicies} from '../placement/placement_policies.js';
import {QuarantineManager} from '../quarantine/quarantine_manager.js';
import {FirstContact} from '../reach/first_contact.js';
import {PeerReach} from '../reach/peer_reach.js';
import {ReachProber} from '../reach/reach_prober.js';
import {ServiceReach} from '../reach/service_reach.js';
import {RelayGate} from '../relay/relay_gate.js';
import {RelayPeers} from '../relay/relay_peers.js';
import {RequestLimitManager} from '../request_limits/request_limit_manager.js';
import {FactSync} from '../peers/fact_sync.js';
import {PeerNotices} from '../peers/peer_notices.js';
import {PeerRoster} from '../peers/peer_roster.js';
import type {GatewayComponents} from '../request/gateway_components.js';
import {RequestHandler} from '../request/request_handler.js';
import {RequestRecorder} from '../request/request_recorder.js';
import {SharedRetryBudget} from '../request/shared_retry_budget.js';
import {StopGate} from '../request/stop_gate.js';
import {createProbeServer} from './create_probe_server.js';
import type {GatewayGauges} from './gateway_gauges.js';
import {GatewayMetrics} from './gateway_metrics.js';
import type {GatewaySettings} from './gateway_settings.js';
import {Readiness} from './readiness.js';
import {UnansweredReporter} from './unanswered_reporter.js';

const MS_PER_SECOND = 1_000;
/** Time before the kill by which the process has to have exited. */
const EXIT_MARGIN_MS = 600;
const DRAIN_CHECK_INTERVAL_MS = 50;
/** Time in which clients receive the error responses of cut requests. */
const CUT_TIMEOUT_MS = 100;
/** Time before the kill that is left to flush the log and to exit. */
const FLUSH_MARGIN_MS = 300;
/** Delay that collects entries of the record, to reduce the disk syncs. */
const RECORD_BATCH_DELAY_MS = 250;
/**
 * Entries of the record that are buffered while no control host is reachable.
 * At about 1 KB each, they take a third of the memory that a host has for its
 * control work.
 */
const MAX_RECORD_ENTRIES = 20_000;
/** Timeout for sending the last entries; within the exit margin. */
const RECORD_FLUSH_TIMEOUT_MS = 400;
/**
 * Bytes of bodies that are kept in each direction: together a quarter of the
 * memory of the smallest host, 250 MB.
 */
const MAX_HELD_BYTES = 32 * 1_024 * 1_024;
/** Idle timeout of clients until the configured limit is known. */
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
/**
 * Added to the idle limit: clients use connections up to the limit, so the host
 * must close them later.
 */
const IDLE_MARGIN_MS = 1_000;
/** Maximum size of a header block; configured limits are below it. */
const MAX_HEADER_BYTES = 64 * 1_024;

/** Factor on cold rates where the settings name none. */
const DEFAULT_COLD_OVERSHOOT = 1;

const log = getLogger('gateway');

/** Options of a `Gateway`. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly dialect: Dialect;
  /** Path of the readiness probe of the load balancer. */
  readonly readinessPath: string;
  /** Maps the addresses of backend servers and peers; unchanged by default. */
  readonly resolve?: ResolveAddress;
}

/** An entry host that forwards HTTP requests to backend servers. */
export class Gateway implements LinkListener {
  private readonly config: ConfigStore;
  private readonly backends = new BackendPool();
  private readonly known: KnownBackends;
  private readonly connections: ConnectionPools;
  private readonly retryBudget: SharedRetryBudget;
  private readonly readiness: Readiness;
  private readonly handler: RequestHandler;
  private readonly links: ControlLinks;
  private readonly recorder: Recorder;
  private readonly stopping = new AbortController();
  private readonly stopGate = new StopGate();
  private readonly requestBytes = new ByteBudget(MAX_HELD_BYTES);
  private readonly responseBytes = new ByteBudget(MAX_HELD_BYTES);
  private readonly notices: PeerNotices;
  private readonly roster = new PeerRoster();
  private readonly quarantine: QuarantineManager;
  private readonly requestLimits: RequestLimitManager;
  private readonly coldBackends: ColdBackends;
  private readonly failingBackends: FailingBackends;
  private readonly departures: DepartureManager;
  private readonly evacuation: EvacuationManager;
  private readonly reach = new ServiceReach();
  private readonly peerReach: PeerReach;
  private readonly factSync: FactSync;
  private readonly relayPeers: RelayPeers;
  private readonly prober: ReachProber;
  private readonly firstContact: FirstContact;
  private readonly clientServer: ClientServer;
  /** Receives requests that other entry hosts relay. */
  private readonly relayServer: ClientServer;
  private readonly probeServers: Server[] = [];
  private readonly metrics = new GatewayMetrics();
  private readonly unanswered: UnansweredReporter;
  private readonly hostIds = (): string[] =>
    this.roster.current(monotonicMs()).map(({id}) => id);

  private constructor(private readonly options: GatewayOptions) {
    const {settings, dialect} = options;
    this.config = new ConfigStore(dialect);
    this.known = new KnownBackends({
      isEnabled: settings.waitsAfterRestart,
      backends: this.backends,
    });
    this.connections = new ConnectionPools(options.resolve);
    this.readiness = new Readiness(this.config);
    const {retries} = settings;
    const windowMs = retries.windowS * MS_PER_SECOND;
    // The number of hosts that share the allowance is not known yet.
    this.retryBudget = new SharedRetryBudget({...retries, windowMs}, Infinity);
    this.links = new ControlLinks({
      entry: {
        id: settings.id,
        failureDomain: settings.failureDomain,
        address: settings.peers,
      },
      seeds: controlAddresses(settings),
      listener: this,
    });
    this.recorder = new Recorder({
      entryHostId: settings.id,
      failureDomain: settings.failureDomain,
      clock: new HybridClock(),
      sink: this.links,
      batchDelayMs: RECORD_BATCH_DELAY_MS,
      maxEntries: MAX_RECORD_ENTRIES,
    });
    this.notices = new PeerNotices({
      id: settings.id,
      failureDomain: settings.failureDomain,
      address: settings.peers,
      backends: this.backends,
    });
    this.quarantine = new QuarantineManager({
      id: settings.id,
      notices: this.notices,
      metrics: this.metrics,
      hostIds: this.hostIds,
    });
    const {coldBackends} = settings;
    this.coldBackends = new ColdBackends({
      bounds: {
        overshoot: coldBackends.overshoot ?? DEFAULT_COLD_OVERSHOOT,
        allowance: coldBackends.allowance ?? 0,
      },
      notices: this.notices,
      backends: this.backends,
      configStore: this.config,
    });
    this.requestLimits = new RequestLimitManager({
      id: settings.id,
      notices: this.notices,
      backends: this.backends,
      metrics: this.metrics,
      cold: this.coldBackends,
      hostIds: this.hostIds,
    });
    this.failingBackends = new FailingBackends({
      notices: this.notices,
      backends: this.backends,
      isEnabled: settings.sharesFailures,
      hostCount: () => this.notices.peerCount + 1,
    });
    this.departures = new DepartureManager({
      notices: this.notices,
      backends: this.backends,
    });
    this.evacuation = new EvacuationManager({
      notices: this.notices,
      emptied: this.backends.emptied,
    });
    this.peerReach = new PeerReach({
      notices: this.notices,
      reach: this.reach,
    });
    this.relayPeers = new RelayPeers({
      id: settings.id,
      failureDomain: settings.failureDomain,
      peerReach: this.peerReach,
    });
    this.prober = new ReachProber({
      reach: this.reach,
      backends: this.backends,
      connections: this.connections,
    });
    this.firstContact = new FirstContact({
      reach: this.reach,
      backends: this.backends,
      prober: this.prober,
    });
    this.factSync = new FactSync({
      notices: this.notices,
      sources: [
        this.quarantine,
        this.requestLimits,
        this.departures,
        this.evacuation,
        this.coldBackends,
        this.failingBackends,
        this.peerReach,
      ],
    });
    this.unanswered = new UnansweredReporter({
      dialect,
      metrics: this.metrics,
      isDraining: () => this.readiness.draining,
    });
    this.handler = new RequestHandler(this.createParts());
    this.clientServer = this.createServer((req, res) =>
      this.handler.handle(req, res),
    );
    this.relayServer = this.createServer(
      (req, res) => this.handler.handleRelayed(req, res),
      {clientsClose: true},
    );
    this.metrics.registerGauges(this.createGauges());
    void this.backends
      .ended()
      .observe(backend => this.connections.remove(backend));
  }

  /** Starts a gateway: listens, and connects to the control hosts. */
  static async start(options: GatewayOptions): Promise<Result<Gateway>> {
    const gateway = new Gateway(options);
    const bound = await gateway.listenAll();
    if (!bound.ok) return bound;
    const noticesBound = await gateway.notices.listen();
    if (!noticesBound.ok) return noticesBound;
    gateway.links.start();
    gateway.factSync.start();
    void gateway.recorder.run(gateway.stopping.signal);
    const {listen: address} = options.settings;
    log.info('Listening.', {address: address.host, port: address.port});
    return succeed(gateway);
  }

  /** Drains the requests in flight within the grace time, then stops. */
  async stop(): Promise<void> {
    const {drainNoticeMs, graceS} = this.options.settings;
    const graceMs = graceS * MS_PER_SECOND;
    const killMs = monotonicMs() + graceMs;
    this.readiness.startDraining();
    for (const server of this.servers) server.startDraining();
    log.info('Draining.', this.openCounts());
    await sleep(Math.min(drainNoticeMs, graceMs - EXIT_MARGIN_MS));
    this.stopGate.close(killMs - EXIT_MARGIN_MS);
    await acceptArrived(this.servers);
    for (const server of this.servers) server.close();
    await this.drainUntil(killMs - EXIT_MARGIN_MS);
    log.info('Stopped.', this.openCounts());
    await this.cutRequests();
    const flushMs = killMs - FLUSH_MARGIN_MS - monotonicMs();
    await this.recorder.close(Math.min(RECORD_FLUSH_TIMEOUT_MS, flushMs));
    this.stopping.abort();
    this.links.stop();
    this.factSync.stop();
    this.prober.stop();
    this.quarantine.stop();
    this.notices.close();
    this.connections.close();
    for (const probe of this.probeServers) probe.close();
  }

  /** Applies changed seeds; every other setting needs a restart. */
  reconfigure(settings: GatewaySettings): void {
    this.links.replaceSeeds(controlAddresses(settings));
  }

  get version(): number {
    return this.config.version;
  }

  get evacuationRevision(): number {
    return this.backends.emptied.revision;
  }

  get knownBackends(): BackendCounts | undefined {
    return this.known.counts;
  }

  onEvacuation(view: EvacuationView): void {
    this.evacuation.learn(view, 'control');
  }

  onReports(batch: ReportBatch): void {
    this.backends.apply(batch);
  }

  onControlHostLeft(host: string): void {
    this.backends.removeControlHost(host);
  }

  onDocument(document: PublishedDocument): void {
    this.config.apply(document);
    const limits = this.config.current?.config.limits;
    if (!limits) return;
    for (const server of this.servers) {
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      server.headersTimeout = limits.headerTimeoutMs;
    }
  }

  onContact(contact: {
    readonly from: string;
    readonly isCurrent: boolean;
    readonly version: number;
    readonly peers?: readonly EntryPeer[];
    readonly census?: Census;
  }): void {
    this.known.update(contact.census);
    this.readiness.onContact(contact.isCurrent, contact.version);
    const nowMs = monotonicMs();
    this.roster.update(contact.from, contact.peers, nowMs);
    const peers = this.roster.current(nowMs);
    this.notices.replacePeers(peers);
    for (const peer of this.relayPeers.update(peers))
      this.connections.remove(peer);
    if (peers.length === 0) return;
    this.retryBudget.setHostCount(peers.length);
    this.factSync.onPeers(peers.length - 1);
  }

  /**
   * Waits until every connection is closed, so that nothing more can be read, at
   * most until `endMs`. A connection closes once no request is in progress on
   * it, of which a part may have arrived.
   */
  private async drainUntil(endMs: number): Promise<void> {
    await pollIo();
    this.closeIdleConnections();
    while (this.isServing && monotonicMs() < endMs) {
      await sleep(DRAIN_CHECK_INTERVAL_MS);
      await pollIo();
      this.closeIdleConnections();
    }
  }

  private get isServing(): boolean {
    const {servers, handler} = this;
    return (
      handler.inFlight > 0 ||
      servers.some(({connectionCount}) => connectionCount > 0)
    );
  }

  private openCounts(): {inFlight: number; connections: number} {
    const counts = this.servers.map(({connectionCount}) => connectionCount);
    return {
      inFlight: this.handler.inFlight,
      connections: counts.reduce((sum, count) => sum + count, 0),
    };
  }

  /**
   * Ends the requests still in flight: resets responses that have begun, and
   * sends an error response to the others.
   */
  private async cutRequests(): Promise<void> {
    for (const server of this.servers)
      server.resetConnections(res => res.headersSent && !res.writableEnded);
    this.handler.endRequests();
    await this.drainUntil(monotonicMs() + CUT_TIMEOUT_MS);
    for (const server of this.servers) {
      server.resetConnections(() => true);
      // What has arrived in part by now is not read to its end.
      server.closeAllConnections();
    }
  }

  private get servers(): readonly ClientServer[] {
    return [this.clientServer, this.relayServer];
  }

  private closeIdleConnections(): void {
    for (const server of this.servers) server.closeIdleConnections();
  }

  private createParts(): GatewayComponents {
    const {settings, dialect} = this.options;
    const backendSignals = new BackendSignals({
      departures: this.departures,
      failing: this.failingBackends,
      metrics: this.metrics,
    });
    return {
      dialect,
      configStore: this.config,
      backends: this.backends,
      homes: new HomePolicy({
        configStore: this.config,
        regionByFailureDomain: settings.regionByFailureDomain,
      }),
      knownBackends: this.known,
      connections: this.connections,
      processChecks: new ProcessChecks({
        connections: this.connections,
        dialect,
      }),
      placements: new PlacementPolicies(
        settings.placement,
        settings.failureDomain,
      ),
      admission: new AdmissionPolicies(settings.admission),
      retryBudget: this.retryBudget,
      requestRecorder: new RequestRecorder(this.recorder),
      memory: new MemoryReservationManager({
        dialect,
        connections: this.connections,
        backendSignals,
      }),
      notices: this.notices,
      quarantine: this.quarantine,
      requestLimits: this.requestLimits,
      backendSignals,
      reach: this.reach,
      firstContact: this.firstContact,
      relayPeers: this.relayPeers,
      relayGate: new RelayGate({
        reach: this.reach,
        peers: () => this.roster.current(monotonicMs()),
        isDraining: () => this.readiness.draining,
      }),
      requestBytes: this.requestBytes,
      responseBytes: this.responseBytes,
      hostId: settings.id,
      factSync: this.factSync,
      metrics: this.metrics,
      stopGate: this.stopGate,
    };
  }

  private createGauges(): GatewayGauges {
    return {
      inFlight: () => this.handler.inFlight,
      configVersion: () => this.config.version,
      configAgeS: () => this.config.ageMs / MS_PER_SECOND,
      quarantinedParts: () => this.quarantine.partCount,
      quarantinedRequests: () => this.quarantine.requestCount,
      limitedBackends: () => this.requestLimits.size,
      leavingBackends: () => this.backends.departures.size,
      emptiedDomains: () => this.backends.emptied.size,
      failingBackends: () => this.failingBackends.size,
      coldBackends: () => this.coldBackends.size,
      lostServices: () => this.reach.lostServices().length,
      cutOffPeers: () => this.peerReach.size,
      controlHosts: () => this.links.hosts().length,
      heldRequestBytes: () => this.requestBytes.heldBytes,
      heldResponseBytes: () => this.responseBytes.heldBytes,
      bodiesWithoutRoom: () =>
        this.requestBytes.refusals + this.responseBytes.refusals,
      unacknowledgedEntries: () => this.recorder.undelivered.length,
      backends: () =>
        this.backends.list().map(({presence, failures}) => ({
          service: presence.service,
          state: presence.state,
          isEjected: failures.isEjected(monotonicMs()),
        })),
    };
  }

  private createServer(
    handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
    options: ClientServerOptions = {},
  ): ClientServer {
    return new ClientServer(
      {
        keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
        headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
        requestTimeout: 0,
        maxHeaderSize: MAX_HEADER_BYTES,
        noDelay: true,
      },
      (req, res) => void handle(req, res),
      {
        onUnanswered: unanswered => this.unanswered.report(unanswered),
        ...options,
      },
    );
  }

  private async listenAll(): Promise<Result<void>> {
    const {settings, readinessPath} = this.options;
    const bindings: Array<[Server, Address]> = [];
    for (const address of [settings.readiness, settings.metrics]) {
      if (!address) continue;
      const probe = createProbeServer({
        readinessPath,
        isReady: () => this.readiness.isReady,
        metrics: this.metrics,
      });
      this.probeServers.push(probe);
      bindings.push([probe, address]);
    }
    bindings.push([this.relayServer, settings.peers]);
    bindings.push([this.clientServer, settings.listen]);
    for (const [server, address] of bindings) {
      const bound = await listen(server, address);
      if (!bound.ok) return bound;
    }
    return succeed(undefined);
  }
}

function controlAddresses({seeds, peerPort}: GatewaySettings): Address[] {
  return seeds.map(({host}) => ({host, port: peerPort}));
}
