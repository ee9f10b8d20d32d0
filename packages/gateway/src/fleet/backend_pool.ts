import {PresenceTable} from '@vanillamux/membership';
import {
  PresenceState,
  presenceSchema,
  type Presence,
} from '@vanillamux/protocol';
import {EventBus, getLogger, monotonicMs} from '@vanillamux/shared';
import type {Stream} from 'most';
import {ColdPace} from '../cold_backends/cold_pace.js';
import {DepartureTable} from '../departures/departure_table.js';
import {EmptiedDomains} from '../evacuation/emptied_domains.js';
import {Backend} from './backend.js';
import {BackendLiveness} from './backend_liveness.js';
import {DomainReachability} from './domain_reachability.js';
import {ObservationTable} from './observation_table.js';

/** Shortest time between two checks of all backend servers. */
const CHECK_INTERVAL_MS = 1_000;

const log = getLogger('backends');

/** Reports of one control host. */
export interface ReportBatch {
  /** Address of the control host. */
  readonly from: string;
  /** Changes when the control host starts anew. */
  readonly registryId: string;
  readonly reports: readonly Presence[];
}

/**
 * Backend servers that this host may send requests to. What a backend server
 * says of itself holds by its incarnation and sequence; that a control host no
 * longer hears it holds only while no other one does.
 */
export class BackendPool {
  /** What backend servers said of themselves, and which have ended. */
  private readonly table: PresenceTable;
  private readonly observations = new ObservationTable();
  private readonly backends = new Map<string, Backend>();
  private readonly backendsByService = new Map<string, Set<Backend>>();
  private readonly coldPaceByService = new Map<string, ColdPace>();
  readonly reachability = new DomainReachability();
  /** Backend servers that have said that they leave; no candidates. */
  readonly departures = new DepartureTable();
  /** Failure domains whose backend servers are no candidates. */
  readonly emptied = new EmptiedDomains();
  private readonly endedBus = new EventBus<Backend>();
  private readonly discoveredBus = new EventBus<string>();
  private checkedMs = -Infinity;

  constructor(private readonly now: () => number = monotonicMs) {
    this.table = new PresenceTable(now);
  }

  /** Streams the backend servers whose incarnation has ended. */
  ended(): Stream<Backend> {
    return this.endedBus.stream();
  }

  /** Streams each service whose first backend server has become known. */
  discovered(): Stream<string> {
    return this.discoveredBus.stream();
  }

  /** Applies reports from a control host; the others hold without an invalid one. */
  apply({from, registryId, reports}: ReportBatch): void {
    this.observations.recordContact(from, registryId, this.now());
    for (const report of reports) {
      const {success, error} = presenceSchema.safeParse(report);
      if (success) {
        this.applyReport(report, from);
        continue;
      }
      log.warn('Ignored the invalid report of a backend server.', {
        backend: report.id,
        reason: error.message,
      });
    }
    this.table.deleteExpired();
    if (this.now() - this.checkedMs < CHECK_INTERVAL_MS) return;
    this.checkedMs = this.now();
    for (const {presence} of this.list()) this.updateLiveness(presence.id);
  }

  /** Drops what a control host said that has left the group. */
  removeControlHost(host: string): void {
    this.observations.removeObserver(host);
  }

  /**
   * Returns the backend servers of a service that accept new work. Silent ones
   * are returned only when there is no other: they may have lost nothing but
   * their connection to the control hosts.
   */
  candidates(service: string): Backend[] {
    const all = this.usable(service).filter(
      ({presence}) => !this.emptied.has(presence),
    );
    const ready = all.filter(({isReady}) => isReady);
    return ready.length > 0 ? ready : all;
  }

  /** Whether a service has backend servers in emptied failure domains alone. */
  isEmptied(service: string): boolean {
    if (this.emptied.size === 0) return false;
    const usable = this.usable(service);
    return (
      usable.length > 0 &&
      usable.every(({presence}) => this.emptied.has(presence))
    );
  }

  /** Returns the services that have had a backend server. */
  services(): string[] {
    return [...this.backendsByService.keys()];
  }

  /** Returns the current incarnation of a backend server. */
  get(id: string): Backend | undefined {
    return this.backends.get(id);
  }

  /** Returns the backend servers whose incarnation has not ended. */
  list(): Backend[] {
    return [...this.backends.values()];
  }

  /** Backend servers that are ready or silent and have not said that they leave. */
  private usable(service: string): Backend[] {
    return [...(this.backendsByService.get(service) ?? [])].filter(
      ({isReady, presence}) =>
        (isReady || presence.state === PresenceState.Silent) &&
        !this.departures.has(presence),
    );
  }

  private applyReport(report: Presence, from: string): void {
    const {id, incarnation, state} = report;
    const isEnd = this.isEnd(report, from);
    const isHeard =
      state === PresenceState.Ready || state === PresenceState.Draining;
    if (!isEnd) this.observations.record(report, from, isHeard);
    if (isEnd || state !== PresenceState.Gone) this.applyOwnState(report);
    this.updateLiveness(id);
    // Late reports of ended incarnations, for example.
    if (this.backends.get(id)?.presence.incarnation !== incarnation)
      this.observations.remove(report);
  }

  /**
   * Whether a report says that an incarnation has ended. A control host of an
   * earlier version sends `Gone` for that and, after it was silent for a minute,
   * for one that it doesn't hear.
   */
  private isEnd(report: Presence, from: string): boolean {
    if (report.state !== PresenceState.Gone) return false;
    return (
      report.isConfirmed === true || this.observations.isHeardBy(report, from)
    );
  }

  /** Applies what a backend server said of itself, or that it has ended. */
  private applyOwnState(report: Presence): void {
    // A silent one was ready when it was heard; a draining one is not reported
    // as silent.
    const own =
      report.state === PresenceState.Silent
        ? {...report, state: PresenceState.Ready}
        : report;
    const changes = this.table.apply(own);
    for (const change of changes) {
      const liveness = this.observations.judge(change, this.now());
      this.applyChange(withLiveness(change, liveness));
    }
    // An older report would prolong a cold stretch.
    if (changes.length > 0) this.applyColdness(report);
  }

  private applyColdness({id, sequence, coldForMs = 0}: Presence): void {
    this.backends.get(id)?.cold.record(sequence, coldForMs, this.now());
  }

  /** Applies what all control hosts together know of a backend server. */
  private updateLiveness(id: string): void {
    const current = this.backends.get(id);
    const own = this.table.get(id);
    if (!current || !own) return;
    const liveness = this.observations.judge(own, this.now());
    const report = withLiveness(own, liveness);
    if (report.state === current.presence.state) return;
    // Not an end: another report of this incarnation brings it back.
    if (report.state === PresenceState.Gone) this.table.delete(id);
    this.applyChange(report);
  }

  private applyChange(report: Presence): void {
    const current = this.backends.get(report.id);
    const isSameIncarnation =
      current?.presence.incarnation === report.incarnation;
    log.info('Known state of a backend server changed.', {
      backend: report.id,
      state: report.state,
      before: isSameIncarnation ? current?.presence.state : undefined,
      heardBy: this.observations.hosts(report.id).join(),
      incarnation: report.incarnation,
      sequence: report.sequence,
      coldForMs: report.coldForMs,
    });
    if (current && !isSameIncarnation) this.remove(current);
    if (report.state === PresenceState.Gone) {
      if (current && isSameIncarnation) this.remove(current);
      return;
    }
    if (current && isSameIncarnation) this.update(current, report);
    else this.add(new Backend(report, this.coldPaceOf(report.service)));
  }

  private coldPaceOf(service: string): ColdPace {
    const pace = this.coldPaceByService.get(service) ?? new ColdPace();
    this.coldPaceByService.set(service, pace);
    return pace;
  }

  private add(backend: Backend): void {
    const {id, service} = backend.presence;
    this.backends.set(id, backend);
    const known = this.backendsByService.get(service);
    const serviceBackends = known ?? new Set<Backend>();
    this.backendsByService.set(service, serviceBackends.add(backend));
    if (!known) this.discoveredBus.emit(service);
  }

  private update(backend: Backend, report: Presence): void {
    this.backendsByService.get(backend.presence.service)?.delete(backend);
    backend.update(report);
    this.add(backend);
  }

  private remove(backend: Backend): void {
    const {id, service} = backend.presence;
    this.backends.delete(id);
    this.backendsByService.get(service)?.delete(backend);
    this.departures.remove(backend.presence);
    this.observations.remove(backend.presence);
    this.endedBus.emit(backend);
  }
}

function withLiveness(own: Presence, liveness: BackendLiveness): Presence {
  if (liveness === BackendLiveness.Gone)
    return {...own, state: PresenceState.Gone};
  const isSilent =
    liveness === BackendLiveness.Silent && own.state === PresenceState.Ready;
  return isSilent ? {...own, state: PresenceState.Silent} : own;
}
