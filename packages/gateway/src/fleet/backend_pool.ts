import {PresenceTable} from '@vanillamux/membership';
import {
  PresenceState,
  presenceSchema,
  type Presence,
} from '@vanillamux/protocol';
import {EventBus, getLogger} from '@vanillamux/shared';
import type {Stream} from 'most';
import {DepartureTable} from '../departures/departure_table.js';
import {Backend} from './backend.js';
import {DomainReachability} from './domain_reachability.js';

const log = getLogger('backends');

/** Backend servers that this host may send requests to. */
export class BackendPool {
  private readonly table = new PresenceTable();
  private readonly backends = new Map<string, Backend>();
  private readonly backendsByService = new Map<string, Set<Backend>>();
  readonly reachability = new DomainReachability();
  /** Backend servers that have said that they leave; no candidates. */
  readonly departures = new DepartureTable();
  private readonly endedBus = new EventBus<Backend>();
  private readonly discoveredBus = new EventBus<string>();

  /** Streams the backend servers whose incarnation has ended. */
  ended(): Stream<Backend> {
    return this.endedBus.stream();
  }

  /** Streams each service whose first backend server has become known. */
  discovered(): Stream<string> {
    return this.discoveredBus.stream();
  }

  /** Applies reports from a control host; the others hold without an invalid one. */
  apply(reports: readonly Presence[]): void {
    for (const report of reports) {
      const {success, error} = presenceSchema.safeParse(report);
      if (!success) {
        log.warn('Ignored the invalid report of a backend server.', {
          backend: report.id,
          reason: error.message,
        });
        continue;
      }
      for (const change of this.table.apply(report)) this.applyChange(change);
    }
    this.table.deleteExpired();
  }

  /**
   * Returns the backend servers of a service that accept new work. Silent ones
   * are returned only when there is no other: they may have lost nothing but
   * their connection to the control hosts.
   */
  candidates(service: string): Backend[] {
    const all = [...(this.backendsByService.get(service) ?? [])].filter(
      ({presence}) => !this.departures.has(presence),
    );
    const ready = all.filter(({isReady}) => isReady);
    if (ready.length > 0) return ready;
    return all.filter(({presence}) => presence.state === PresenceState.Silent);
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

  private applyChange(report: Presence): void {
    const current = this.backends.get(report.id);
    const isSameIncarnation =
      current?.presence.incarnation === report.incarnation;
    log.info('Known state of a backend server changed.', {
      backend: report.id,
      state: report.state,
      before: isSameIncarnation ? current?.presence.state : undefined,
      incarnation: report.incarnation,
      sequence: report.sequence,
    });
    if (current && !isSameIncarnation) this.remove(current);
    if (report.state === PresenceState.Gone) {
      if (current && isSameIncarnation) this.remove(current);
      return;
    }
    if (current && isSameIncarnation) this.update(current, report);
    else this.add(new Backend(report));
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
    this.endedBus.emit(backend);
  }
}
