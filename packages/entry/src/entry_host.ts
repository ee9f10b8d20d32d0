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
import {PeerDeclarations} from './peer_declarations.js';
import {RequestDesk} from './request_desk.js';
import {ReservationClient} from './reservation_client.js';
import {ServiceClient} from './service_client.js';
import {ServiceHandler} from './service_handler.js';
import {Settler} from './settler.js';

const FLUSH_LIMIT_MS = 5_000;
const DRAIN_CHECK_MS = 20;

const EVENT_OF_CHANGE: Partial<Record<BackendChangeKind, EventKind>> = {
  [BackendChangeKind.Joined]: EventKind.BackendJoined,
  [BackendChangeKind.Leaving]: EventKind.BackendLeaving,
  [BackendChangeKind.Lost]: EventKind.BackendLost,
};

const log = getLogger('entry');

/** The parts of one entry host, joined. */
export class EntryHost {
  readonly timeline: Timeline;
  readonly metrics = new EntryMetrics();
  readonly table = new BackendTable();
  readonly mesh: EntryMesh;
  readonly reservationBook = new KvReservationManager(
    id => this.table.get(id)?.announcement.memoryTokens ?? 0,
  );
  readonly recorder: Recorder;
  readonly desk: RequestDesk;
  readonly declarations: DeclarationStore;
  readonly chat: ChatHandler;
  readonly services: ServiceHandler;
  private readonly stopping = new AbortController();
  private readonly control: ControlClient;
  private readonly settler: Settler;
  private readonly peerDeclarations: PeerDeclarations;
  private readonly reservations: ReservationClient;
  private readonly engineClient = new EngineClient();
  private readonly canceller: EngineCanceller;
  private readonly serviceClient = new ServiceClient();
  private readonly ledger = new InFlightTracker();
  private readonly prefixes = new PrefixIndex();
  private readonly health = new BackendHealth();
  private isDraining = false;

  constructor(
    readonly settings: EntrySettings,
    hasher: BlockHasher,
  ) {
    const {id, failureDomain, maxBodyBytes} = settings;
    const clock = new HybridClock();
    const {signal} = this.stopping;
    this.timeline = new Timeline({host: id, failureDomain, clock});
    this.control = new ControlClient(settings.control, id);
    this.settler = new Settler(this.control, signal);
    this.mesh = new EntryMesh({
      selfId: id,
      failureDomain,
      peers: settings.peers,
      clock,
      table: this.table,
      readInFlight: () => this.ledger.list(),
    });
    this.reservations = new ReservationClient({
      selfId: id,
      failureDomain,
      mesh: this.mesh,
      book: this.reservationBook,
    });
    this.canceller = new EngineCanceller(this.engineClient, signal);
    this.recorder = new Recorder({
      entryHostId: id,
      failureDomain,
      clock,
      sink: new ControlRecordSink(this.control),
    });
    this.peerDeclarations = new PeerDeclarations(settings.peers, id);
    this.declarations = new DeclarationStore(
      this.control,
      this.peerDeclarations,
      this.timeline,
    );
    this.desk = new RequestDesk({
      entryId: id,
      recorder: this.recorder,
      timeline: this.timeline,
      metrics: this.metrics,
    });
    const directory = new BackendDirectory({
      failureDomain,
      table: this.table,
      ledger: this.ledger,
      peerLoads: this.mesh.peerInFlight,
      health: this.health,
      declarations: this.declarations,
    });
    this.chat = new ChatHandler({
      declarations: this.declarations,
      requests: this.desk,
      generationRunner: this.createRunner(directory),
      gangRunner: new GangRunner({
        directory,
        ledger: this.ledger,
        reservationClient: this.reservations,
        engineClient: this.engineClient,
        canceller: this.canceller,
        timeline: this.timeline,
      }),
      blockHasher: hasher,
      maxBodyBytes,
    });
    this.services = new ServiceHandler({
      declarations: this.declarations,
      desk: this.desk,
      directory,
      client: this.serviceClient,
      atMostOnce: new AtMostOnceRunner({
        entryId: id,
        control: this.control,
        settler: this.settler,
        timeline: this.timeline,
      }),
      maxBodyBytes,
    });
    this.addGauges();
  }

  /** Starts the background tasks. */
  start(): void {
    const {signal} = this.stopping;
    this.timeline.add(EventKind.Started, `entry host ${this.settings.id}`);
    void this.table.changes().observe(change => this.onBackend(change));
    void this.declarations
      .changes()
      .observe(index => this.desk.admission.retain(index.workspaceNames));
    this.mesh.run(signal);
    void this.declarations.run(signal);
    void this.recorder.run(signal);
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return !this.isDraining && this.declarations.isReady;
  }

  /** Returns the state for operators. */
  status(): EntryStatus {
    return {
      id: this.settings.id,
      failureDomain: this.settings.failureDomain,
      isReady: this.isReady,
      version: this.declarations.current.version,
      isStale: this.declarations.isStale,
      backends: this.table.list().length,
      inFlight: this.desk.inFlight().length,
      undeliveredRecords: this.recorder.undelivered.length,
      unsettled: this.settler.unsettled,
      liveEntries: this.mesh.liveEntryIds(),
    };
  }

  /** Reports not ready, so that the balancer sends no new callers. */
  beginDrain(): void {
    this.isDraining = true;
    this.mesh.markLeaving();
    this.timeline.add(EventKind.Stopping, `entry host ${this.settings.id}`);
  }

  /** Waits until every request in flight has ended. */
  async finishDrain(): Promise<void> {
    this.desk.drain();
    const running = this.desk.inFlight().map(({deadlineMs}) => deadlineMs);
    const endMs = Math.max(monotonicMs(), ...running);
    while (this.desk.inFlight().length > 0 && monotonicMs() < endMs) {
      await sleep(DRAIN_CHECK_MS);
    }
  }

  /** Delivers the record and ends every task. */
  async close(): Promise<void> {
    const endMs = monotonicMs() + FLUSH_LIMIT_MS;
    while (this.settler.unsettled > 0 && monotonicMs() < endMs) {
      await sleep(DRAIN_CHECK_MS);
    }
    await this.recorder.close(FLUSH_LIMIT_MS);
    this.stopping.abort();
    this.control.close();
    this.peerDeclarations.close();
    this.reservations.close();
    await this.engineClient.close();
    await this.serviceClient.close();
  }

  private createRunner(directory: BackendDirectory): GenerationRunner {
    return new GenerationRunner({
      directory,
      policy: createPolicy(this.settings.policy),
      ledger: this.ledger,
      prefixIndex: this.prefixes,
      health: this.health,
      engineClient: this.engineClient,
      canceller: this.canceller,
      reservationClient: this.reservations,
      retryBudget: new RetryBudget(),
      timeline: this.timeline,
    });
  }

  private onBackend({kind, announcement}: BackendChange): void {
    const {id, cache} = announcement;
    if (cache.evicted.length > 0) this.prefixes.removeBlocks(id, cache.evicted);
    if (cache.stored.length > 0) this.prefixes.addBlocks(id, cache.stored);
    const event = EVENT_OF_CHANGE[kind];
    if (!event) return;
    this.timeline.add(event, `${id} in ${announcement.failureDomain}`);
    log.info('A backend server changed.', {id, kind});
    if (kind === BackendChangeKind.Leaving) return;
    // A restarted backend server has an empty cache and a clean slate.
    this.prefixes.removeBackend(id);
    this.health.forget(id);
    this.ledger.removeBackend(id);
    this.prefixes.addBlocks(id, cache.stored);
  }

  private addGauges(): void {
    const gauges: Array<[string, string, () => number]> = [
      [
        'vmux_requests_in_flight',
        'Requests in flight.',
        () => this.desk.inFlight().length,
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
