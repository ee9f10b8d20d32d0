import {randomUUID} from 'node:crypto';
import {PresenceTable} from '@vanillamux/membership';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {
  Deferred,
  formatAddress,
  getLogger,
  monotonicMs,
} from '@vanillamux/shared';

/** Heartbeats that may be missing before a backend server counts as silent. */
const SILENT_AFTER_HEARTBEATS = 4;
/** Silence in heartbeats after which a backend server counts as ended. */
const GONE_AFTER_HEARTBEATS = 50;
/** Pause in heartbeats after which a report is passed on though unchanged. */
const REFRESH_AFTER_HEARTBEATS = 2;

const log = getLogger('backends');

/** Options of a `BackendRegistry`. */
export interface BackendRegistryOptions {
  /** Interval at which backend servers report, in milliseconds. */
  readonly heartbeatMs: number;
  readonly now?: () => number;
}

/** Reports since a position of a registry's history. */
export interface RegistryUpdate {
  /** Identifies the registry; positions of another one mean nothing. */
  readonly registryId: string;
  readonly position: number;
  readonly reports: readonly Presence[];
}

/**
 * The backend servers that report to this control host. Every change has a
 * position, so that entry hosts are sent what is new to them only.
 */
export class BackendRegistry {
  private readonly registryId = randomUUID();
  private readonly presenceTable: PresenceTable;
  private readonly positionById = new Map<string, number>();
  private readonly lastReceivedMsById = new Map<string, number>();
  private readonly now: () => number;
  private position = 0;
  private changeDeferred = new Deferred<void>();

  constructor(private readonly options: BackendRegistryOptions) {
    this.now = options.now ?? monotonicMs;
    this.presenceTable = new PresenceTable(this.now);
  }

  /** Backend servers whose life has not ended. */
  get size(): number {
    return this.presenceTable
      .list()
      .filter(({state}) => state !== PresenceState.Gone).length;
  }

  /** Takes a heartbeat. Returns whether it was newer than what was known. */
  receive(report: Presence): boolean {
    const previous = this.presenceTable.get(report.id);
    const changes = this.presenceTable.apply(report);
    const current = changes.at(-1);
    if (!current) return false;
    const elapsedMs =
      this.now() - (this.lastReceivedMsById.get(report.id) ?? -Infinity);
    this.lastReceivedMsById.set(report.id, this.now());
    const isRedundant =
      changes.length === 1 &&
      previous !== undefined &&
      isUnchanged(previous, current) &&
      elapsedMs < REFRESH_AFTER_HEARTBEATS * this.options.heartbeatMs;
    if (!isRedundant) this.appendChanges(changes);
    return true;
  }

  /**
   * Ends the life of a backend server that says that it leaves. A notice of
   * an earlier incarnation than the present one is ignored.
   */
  deregister(id: string, incarnation?: number): void {
    const known = this.presenceTable.get(id);
    if (!known || (incarnation ?? Infinity) < known.incarnation) return;
    this.appendChanges(
      this.presenceTable.apply({...known, state: PresenceState.Gone}),
    );
  }

  /** Marks the backend servers that have missed their heartbeats. */
  expire(): void {
    const {heartbeatMs} = this.options;
    for (const presence of this.presenceTable.list()) {
      if (presence.state === PresenceState.Gone) continue;
      const lastReceivedMs =
        this.lastReceivedMsById.get(presence.id) ?? this.now();
      const missedHeartbeats = (this.now() - lastReceivedMs) / heartbeatMs;
      if (missedHeartbeats > GONE_AFTER_HEARTBEATS) {
        this.appendChanges(
          this.presenceTable.apply({...presence, state: PresenceState.Gone}),
        );
      } else if (missedHeartbeats > SILENT_AFTER_HEARTBEATS) {
        const silent = {...presence, state: PresenceState.Silent};
        this.appendChanges(this.presenceTable.apply(silent));
      }
    }
    this.presenceTable.deleteExpired();
  }

  /** What has changed since a position of this registry. */
  changesSince(registryId: string, position: number): RegistryUpdate {
    const fromPosition = registryId === this.registryId ? position : 0;
    const reports = this.presenceTable
      .list()
      .filter(({id}) => (this.positionById.get(id) ?? 0) > fromPosition);
    return {registryId: this.registryId, position: this.position, reports};
  }

  /** Resolves at the next change. */
  nextChange(): Promise<void> {
    return this.changeDeferred.promise;
  }

  private appendChanges(changes: readonly Presence[]): void {
    if (changes.length === 0) return;
    for (const presence of changes) {
      this.positionById.set(presence.id, ++this.position);
      log.info('Backend server changed.', {
        backend: presence.id,
        state: presence.state,
        service: presence.service,
        address: formatAddress(presence.address),
        incarnation: presence.incarnation,
        sequence: presence.sequence,
      });
    }
    this.changeDeferred.resolve();
    this.changeDeferred = new Deferred<void>();
  }
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
