import {PresenceTable} from '@vanillamux/membership';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {EventBus, getLogger} from '@vanillamux/shared';
import type {Stream} from 'most';
import {Backend} from './backend.js';
import {DomainReach} from './domain_reach.js';

const log = getLogger('backends');

/** The backend servers that this host may send requests to. */
export class BackendPool {
  private readonly table = new PresenceTable();
  private readonly backends = new Map<string, Backend>();
  private readonly byService = new Map<string, Set<Backend>>();
  readonly reach = new DomainReach();
  private readonly endedBus = new EventBus<Backend>();

  /** Streams the backend servers whose life has ended. */
  ended(): Stream<Backend> {
    return this.endedBus.stream();
  }

  /** Takes reports from a control host. */
  apply(reports: readonly Presence[]): void {
    for (const report of reports) {
      for (const change of this.table.apply(report)) this.take(change);
    }
    this.table.deleteExpired();
  }

  /**
   * Backend servers of a service that take new work. Those that have gone
   * silent are returned only when there is no other one: they may be cut off
   * from the control hosts alone.
   */
  candidates(service: string): Backend[] {
    const all = [...(this.byService.get(service) ?? [])];
    const ready = all.filter(({isReady}) => isReady);
    if (ready.length > 0) return ready;
    return all.filter(({presence}) => presence.state === PresenceState.Silent);
  }

  /** The present life of a backend server. */
  get(id: string): Backend | undefined {
    return this.backends.get(id);
  }

  /** Every backend server whose life has not ended. */
  list(): Backend[] {
    return [...this.backends.values()];
  }

  private take(report: Presence): void {
    const present = this.backends.get(report.id);
    const isSameLife = present?.presence.incarnation === report.incarnation;
    log.info('Belief about a backend server changed.', {
      backend: report.id,
      state: report.state,
      before: isSameLife ? present?.presence.state : undefined,
      incarnation: report.incarnation,
      sequence: report.sequence,
    });
    if (present && !isSameLife) this.drop(present);
    if (report.state === PresenceState.Gone) {
      if (present && isSameLife) this.drop(present);
      return;
    }
    if (present && isSameLife) this.move(present, report);
    else this.add(new Backend(report));
  }

  private add(backend: Backend): void {
    const {id, service} = backend.presence;
    this.backends.set(id, backend);
    const peers = this.byService.get(service) ?? new Set<Backend>();
    this.byService.set(service, peers.add(backend));
  }

  private move(backend: Backend, report: Presence): void {
    this.byService.get(backend.presence.service)?.delete(backend);
    backend.update(report);
    this.add(backend);
  }

  private drop(backend: Backend): void {
    const {id, service} = backend.presence;
    this.backends.delete(id);
    this.byService.get(service)?.delete(backend);
    this.endedBus.emit(backend);
  }
}
