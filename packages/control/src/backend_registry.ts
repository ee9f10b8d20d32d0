import {randomUUID} from 'node:crypto';
import {endIncarnation, PresenceTable} from '@vanillamux/membership';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {
  EventBus,
  formatAddress,
  getLogger,
  monotonicMs,
} from '@vanillamux/shared';
import type {RegistryChange} from './registry_change.js';

/** Missed heartbeats above which a backend server is marked as silent. */
const SILENT_AFTER_HEARTBEATS = 4;
/**
 * Missed heartbeats above which a backend server is forgotten. Entry hosts give
 * it up by themselves: it may report to another control host.
 */
const FORGET_AFTER_HEARTBEATS = 100;
/** Silence in heartbeats after which an unchanged report counts as a change. */
const REFRESH_AFTER_HEARTBEATS = 2;

/** Ready servers of a service up to which an entry host has hardly a choice. */
const FEW_SERVERS = 2;

/** Difference between two ends of a cold stretch that are the same to hosts. */
const COLD_TOLERANCE_MS = 250;

/** Stands for what is not known of a backend server that has left. */
const UNKNOWN_PRESENCE: Omit<Presence, 'id' | 'incarnation'> = {
  sequence: 0,
  state: PresenceState.Gone,
  service: 'unknown',
  address: {host: '0.0.0.0', port: 1},
  failureDomain: '',
  capacity: 0,
};

const log = getLogger('backends');

/** Options of a `BackendRegistry`. */
export interface BackendRegistryOptions {
  /** Interval at which backend servers send heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  readonly now?: () => number;
}

/** Reports that changed in a registry after a position. */
export interface RegistryUpdate {
  /** Identifies the registry; positions of another registry are not valid. */
  readonly registryId: string;
  readonly position: number;
  readonly reports: readonly Presence[];
}

/**
 * Tracks the backend servers that report to this control host. Each change has
 * a position, so that entry hosts are sent only the changes that they lack.
 */
export class BackendRegistry {
  /** Identifies this registry, whose positions no other one has. */
  readonly id = randomUUID();
  /** Emits each change. */
  readonly changes = new EventBus<RegistryChange>();
  private readonly presenceTable: PresenceTable;
  private readonly positionById = new Map<string, number>();
  private readonly lastReceivedMsById = new Map<string, number>();
  private readonly now: () => number;
  private lastPosition = 0;
  private receivedHeartbeats = 0;

  constructor(private readonly options: BackendRegistryOptions) {
    this.now = options.now ?? monotonicMs;
    this.presenceTable = new PresenceTable(this.now);
  }

  /** Position of the latest change. */
  get position(): number {
    return this.lastPosition;
  }

  /** Heartbeats that were received, outdated ones included. */
  get heartbeats(): number {
    return this.receivedHeartbeats;
  }

  /** Number of backend servers that are not gone. */
  get size(): number {
    return this.presenceTable
      .list()
      .filter(({state}) => state !== PresenceState.Gone).length;
  }

  /** Applies a heartbeat. Returns whether it is newer than the known report. */
  receive(report: Presence): boolean {
    this.receivedHeartbeats++;
    const previous = this.presenceTable.get(report.id);
    const changes = this.presenceTable.apply(report);
    const current = changes.at(-1);
    if (!current) return false;
    const coldBeforeMs = previous ? this.coldLeftMs(previous) : 0;
    const elapsedMs =
      this.now() - (this.lastReceivedMsById.get(report.id) ?? -Infinity);
    this.lastReceivedMsById.set(report.id, this.now());
    const coldChangeMs = Math.abs(this.coldLeftMs(current) - coldBeforeMs);
    const isRefresh =
      changes.length === 1 &&
      previous !== undefined &&
      isUnchanged(previous, current);
    const isRedundant =
      isRefresh &&
      coldChangeMs <= COLD_TOLERANCE_MS &&
      elapsedMs < REFRESH_AFTER_HEARTBEATS * this.options.heartbeatMs;
    if (!isRedundant)
      this.appendChanges(
        changes,
        !isRefresh && this.isScarce(current) ? current.service : undefined,
      );
    return true;
  }

  /**
   * Marks an incarnation as gone at its own request, also one that reports to
   * another control host. Returns false if it is not known which one is meant.
   */
  deregister(id: string, incarnation?: number): boolean {
    const known = this.presenceTable.get(id);
    const ended = incarnation ?? known?.incarnation;
    if (ended === undefined) return false;
    if (known && ended < known.incarnation) return true;
    const report =
      known?.incarnation === ended
        ? known
        : {...UNKNOWN_PRESENCE, id, incarnation: ended};
    this.appendChanges(this.presenceTable.apply(endIncarnation(report)));
    return true;
  }

  /**
   * Marks backend servers that have missed heartbeats as silent, and forgets
   * those that have missed many. Silence is no end: a backend server reports to
   * another control host after a call that failed here.
   */
  expire(): void {
    const {heartbeatMs} = this.options;
    for (const presence of this.presenceTable.list()) {
      if (presence.state === PresenceState.Gone) continue;
      const lastReceivedMs =
        this.lastReceivedMsById.get(presence.id) ?? this.now();
      const missedHeartbeats = (this.now() - lastReceivedMs) / heartbeatMs;
      if (missedHeartbeats > FORGET_AFTER_HEARTBEATS) {
        this.presenceTable.delete(presence.id);
        log.info('Forgot a silent backend server.', {
          backend: presence.id,
          incarnation: presence.incarnation,
          sequence: presence.sequence,
        });
      } else if (missedHeartbeats > SILENT_AFTER_HEARTBEATS) {
        const silent = {...presence, state: PresenceState.Silent};
        this.appendChanges(this.presenceTable.apply(silent));
      }
    }
    this.presenceTable.deleteExpired();
    for (const id of this.positionById.keys()) {
      if (this.presenceTable.get(id)) continue;
      this.positionById.delete(id);
      this.lastReceivedMsById.delete(id);
    }
  }

  /**
   * Returns the reports that changed after a position of this registry, or all
   * of them if the position is of another registry.
   */
  changesSince(registryId: string, position: number): RegistryUpdate {
    const fromPosition = registryId === this.id ? position : 0;
    const reports = this.presenceTable
      .list()
      .filter(({id}) => (this.positionById.get(id) ?? 0) > fromPosition)
      .map(report => this.withAge(report));
    return {registryId: this.id, position: this.position, reports};
  }

  /** Time for which a backend server stays cold from now on. */
  private coldLeftMs({id, coldForMs = 0}: Presence): number {
    const ageMs = this.now() - (this.lastReceivedMsById.get(id) ?? this.now());
    return Math.max(0, coldForMs - ageMs);
  }

  /** Returns a report as it holds for an entry host that receives it now. */
  private withAge(report: Presence): Presence {
    if (report.coldForMs === undefined) return report;
    return {...report, coldForMs: Math.ceil(this.coldLeftMs(report))};
  }

  /** Whether a ready server is one of few that its service has. */
  private isScarce({service}: Presence): boolean {
    let ready = 0;
    for (const other of this.presenceTable.list())
      if (other.service === service && other.state === PresenceState.Ready)
        if (++ready > FEW_SERVERS) return false;
    return true;
  }

  private appendChanges(
    changes: readonly Presence[],
    scarceService?: string,
  ): void {
    if (changes.length === 0) return;
    for (const presence of changes) {
      this.positionById.set(presence.id, ++this.lastPosition);
      log.info('Backend server state updated.', {
        backend: presence.id,
        state: presence.state,
        service: presence.service,
        address: formatAddress(presence.address),
        incarnation: presence.incarnation,
        sequence: presence.sequence,
        coldForMs: presence.coldForMs,
      });
    }
    this.changes.emit({isUrgent: changes.some(isUrgent), scarceService});
  }
}

/** Whether requests to the backend server may fail until hosts know of this. */
function isUrgent({state}: Presence): boolean {
  return state !== PresenceState.Ready;
}

function isUnchanged(previous: Presence, current: Presence): boolean {
  return (
    previous.incarnation === current.incarnation &&
    previous.state === current.state &&
    previous.service === current.service &&
    previous.capacity === current.capacity &&
    previous.address.host === current.address.host &&
    previous.address.port === current.address.port
  );
}
