import {ControlClient, ControlRecordSink, Recorder} from '@vanillamux/control';
import {RetryBudget} from '@vanillamux/limits';
import {
  BackendChangeKind,
  BackendTable,
  EntryMesh,
  type BackendChange,
} from '@vanillamux/membership';
import {
  createPolicy,
  InFlightTracker,
  PrefixIndex,
  KvReservationManager,
} from '@vanillamux/routing';
import {
  EventKind,
  getLogger,
  HybridClock,
  monotonicMs,
  sleep,
  Timeline,
} from '@vanillamux/shared';
import {AtMostOnceRunner} from './at_most_once_runner.js';
import {BackendDirectory} from './backend_directory.js';
import {BackendHealth} from './backend_health.js';
import type {BlockHasher} from './block_hasher.js';
import {ChatHandler} from './chat_handler.js';
import {DeclarationStore} from './declaration_store.js';
import {EngineCanceller} from './engine_canceller.js';
import {EngineClient} from './engine_client.js';
import {EntryMetrics} from './entry_metrics.js';
import type {EntrySettings} from './entry_settings.js';
import type {EntryStatus} from './entry_status.js';
import {GangRunner} from './gang_runner.js';
import {GenerationRunner} from './generation_runner.js';
import {PeerDeclarationsClient} from './peer_declarations_client.js';
import {RequestManager} from './request_manager.js';
import {ReservationClient} from './reservation_client.js';
import {ServiceClient} from './service_client.js';
import {ServiceHandler} from './service_handler.js';
import {OutcomeSettler} from './outcome_settler.js';

const FLUSH_TIMEOUT_MS = 5_000;
const DRAIN_POLL_INTERVAL_MS = 20;

const TIMELINE_EVENT_BY_CHANGE: Partial<Record<BackendChangeKind, EventKind>> =
  {
    [BackendChangeKind.Joined]: EventKind.BackendJoined,
    [BackendChangeKind.Leaving]: EventKind.BackendLeaving,
    [BackendChangeKind.Lost]: EventKind.BackendLost,
  };

const log = getLogger('entry');

/** Creates, connects and runs the components of one entry host. */
export class EntryHost {
  readonly timeline: Timeline;
  readonly metrics = new EntryMetrics();
  readonly table = new BackendTable();
  readonly mesh: EntryMesh;
  readonly reservationManager = new KvReservationManager(
    id => this.table.get(id)?.announcement.memoryTokens ?? 0,
  );
  readonly recorder: Recorder;
  readonly requests: RequestManager;
  readonly declarations: DeclarationStore;
  readonly chatHandler: ChatHandler;
  readonly serviceHandler: ServiceHandler;
  private readonly shutdownController = new AbortController();
  private readonly control: ControlClient;
  private readonly settler: OutcomeSettler;
  private readonly peerDeclarations: PeerDeclarationsClient;
  private readonly reservationClient: ReservationClient;
  private readonly engineClient = new EngineClient();
  private readonly canceller: EngineCanceller;
  private readonly serviceClient = new ServiceClient();
  private readonly inFlightTracker = new InFlightTracker();
  private readonly prefixIndex = new PrefixIndex();
  private readonly health = new BackendHealth();
  private isDraining = false;

  constructor(
    readonly settings: EntrySettings,
    hasher: BlockHasher,
  ) {
    const {id, failureDomain, maxBodyBytes} = settings;
    const clock = new HybridClock();
    const {signal} = this.shutdownController;
    this.timeline = new Timeline({host: id, failureDomain, clock});
    this.control = new ControlClient(settings.control, id);
    this.settler = new OutcomeSettler(this.control, signal);
    this.mesh = new EntryMesh({
      selfId: id,
      failureDomain,
      peers: settings.peers,
      clock,
      table: this.table,
      readInFlight: () => this.inFlightTracker.list(),
    });
    this.reservationClient = new ReservationClient({
      selfId: id,
      failureDomain,
      mesh: this.mesh,
      book: this.reservationManager,
    });
    this.canceller = new EngineCanceller(this.engineClient, signal);
    this.recorder = new Recorder({
      entryHostId: id,
      failureDomain,
      clock,
      sink: new ControlRecordSink(this.control),
    });
    this.peerDeclarations = new PeerDeclarationsClient(settings.peers, id);
    this.declarations = new DeclarationStore(
      this.control,
      this.peerDeclarations,
      this.timeline,
    );
    this.requests = new RequestManager({
      entryId: id,
      recorder: this.recorder,
      timeline: this.timeline,
      metrics: this.metrics,
    });
    const directory = new BackendDirectory({
      failureDomain,
      table: this.table,
      inFlightTracker: this.inFlightTracker,
      peerLoads: this.mesh.peerInFlight,
      health: this.health,
      declarations: this.declarations,
    });
    this.chatHandler = new ChatHandler({
      declarations: this.declarations,
      requests: this.requests,
      generationRunner: this.createGenerationRunner(directory),
      gangRunner: new GangRunner({
        directory,
        ledger: this.inFlightTracker,
        reservationClient: this.reservationClient,
        engineClient: this.engineClient,
        canceller: this.canceller,
        timeline: this.timeline,
      }),
      blockHasher: hasher,
      maxBodyBytes,
    });
    this.serviceHandler = new ServiceHandler({
      declarations: this.declarations,
      requests: this.requests,
      directory,
      serviceClient: this.serviceClient,
      atMostOnceRunner: new AtMostOnceRunner({
        entryId: id,
        control: this.control,
        settler: this.settler,
        timeline: this.timeline,
      }),
      maxBodyBytes,
    });
    this.registerGauges();
  }

  /** Starts the background tasks. */
  start(): void {
    const {signal} = this.shutdownController;
    this.timeline.add(EventKind.Started, `entry host ${this.settings.id}`);
    void this.table
      .changes()
      .observe(change => this.handleBackendChange(change));
    void this.declarations
      .changes()
      .observe(index => this.requests.admission.retain(index.workspaceNames));
    this.mesh.run(signal);
    void this.declarations.run(signal);
    void this.recorder.run(signal);
  }

  /** Whether the load balancer may route callers to this host. */
  get isReady(): boolean {
    return !this.isDraining && this.declarations.isReady;
  }

  /** Returns the host's state for operators. */
  status(): EntryStatus {
    return {
      id: this.settings.id,
      failureDomain: this.settings.failureDomain,
      isReady: this.isReady,
      version: this.declarations.current.version,
      isStale: this.declarations.isStale,
      backends: this.table.list().length,
      inFlight: this.requests.listInFlight().length,
      undeliveredRecords: this.recorder.undelivered.length,
      unsettled: this.settler.unsettledCount,
      liveEntries: this.mesh.liveEntryIds(),
    };
  }

  /** Reports not ready, so that the load balancer sends no new callers. */
  beginDrain(): void {
    this.isDraining = true;
    this.mesh.markLeaving();
    this.timeline.add(EventKind.Stopping, `entry host ${this.settings.id}`);
  }

  /**
   * Refuses new requests and waits until the others have finished or reached
   * their deadlines.
   */
  waitForDrain(): Promise<void> {
    return this.requests.drain();
  }

  /** Flushes settlements and the record, then stops every background task. */
  async close(): Promise<void> {
    const settleDeadlineMs = monotonicMs() + FLUSH_TIMEOUT_MS;
    while (
      this.settler.unsettledCount > 0 &&
      monotonicMs() < settleDeadlineMs
    ) {
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    await this.recorder.close(FLUSH_TIMEOUT_MS);
    this.shutdownController.abort();
    this.control.close();
    this.peerDeclarations.close();
    this.reservationClient.close();
    await this.engineClient.close();
    await this.serviceClient.close();
  }

  private createGenerationRunner(
    directory: BackendDirectory,
  ): GenerationRunner {
    return new GenerationRunner({
      directory,
      policy: createPolicy(this.settings.policy),
      ledger: this.inFlightTracker,
      prefixIndex: this.prefixIndex,
      health: this.health,
      engineClient: this.engineClient,
      canceller: this.canceller,
      reservationClient: this.reservationClient,
      retryBudget: new RetryBudget(),
      timeline: this.timeline,
    });
  }

  private handleBackendChange({kind, announcement}: BackendChange): void {
    const {id, cache} = announcement;
    if (cache.evicted.length > 0)
      this.prefixIndex.removeBlocks(id, cache.evicted);
    if (cache.stored.length > 0) this.prefixIndex.addBlocks(id, cache.stored);
    const event = TIMELINE_EVENT_BY_CHANGE[kind];
    if (!event) return;
    this.timeline.add(event, `${id} in ${announcement.failureDomain}`);
    log.info('Backend server status changed.', {id, kind});
    if (kind === BackendChangeKind.Leaving) return;
    // A restarted backend server has an empty cache, no requests in flight and
    // no failures.
    this.prefixIndex.removeBackend(id);
    this.health.forget(id);
    this.inFlightTracker.removeBackend(id);
    this.prefixIndex.addBlocks(id, cache.stored);
  }

  private registerGauges(): void {
    const gauges: Array<[string, string, () => number]> = [
      [
        'vmux_requests_in_flight',
        'Requests in flight.',
        () => this.requests.listInFlight().length,
      ],
      [
        'vmux_declared_version',
        'Version of the declarations in force.',
        () => this.declarations.current.version,
      ],
      [
        'vmux_declarations_stale',
        'Whether the declarations may be out of date.',
        () => Number(this.declarations.isStale),
      ],
      [
        'vmux_backends',
        'Backend servers whose lease holds.',
        () => this.table.list().length,
      ],
      [
        'vmux_record_undelivered',
        'Record entries that no control host has confirmed.',
        () => this.recorder.undelivered.length,
      ],
    ];
    for (const [name, help, read] of gauges) {
      this.metrics.addGauge(name, help, read);
    }
  }
}
