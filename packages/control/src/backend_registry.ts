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
const MISSED_HEARTBEATS = 4;
/** Silence in heartbeats after which a backend server counts as ended. */
const FORGOTTEN_HEARTBEATS = 50;
/** Pause in heartbeats after which a report is passed on though unchanged. */
const REPEAT_HEARTBEATS = 2;

const log = getLogger('backends');

/** Options of a `BackendRegistry`. */
export interface BackendRegistryOptions {
  /** Interval at which backend servers report, in milliseconds. */
  readonly heartbeatMs: number;
  readonly now?: () => number;
}

/** Reports since a position of a registry's history. */
export interface RegistryNews {
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
  private readonly table: PresenceTable;
  private readonly positions = new Map<string, number>();
  private readonly heardMs = new Map<string, number>();
  private readonly now: () => number;
  private position = 0;
  private next = new Deferred<void>();

  constructor(private readonly options: BackendRegistryOptions) {
    this.now = options.now ?? monotonicMs;
    this.table = new PresenceTable(this.now);
  }

  /** Backend servers whose life has not ended. */
  get size(): number {
    return this.table.list().filter(({state}) => state !== PresenceState.Gone)
      .length;
  }

  /** Takes a heartbeat. Returns whether it was newer than what was known. */
  hear(report: Presence): boolean {
    const before = this.table.get(report.id);
    const changes = this.table.apply(report);
    const current = changes.at(-1);
    if (!current) return false;
    const pauseMs = this.now() - (this.heardMs.get(report.id) ?? -Infinity);
    this.heardMs.set(report.id, this.now());
    const repeats =
      changes.length === 1 &&
      before !== undefined &&
      isUnchanged(before, current) &&
      pauseMs < REPEAT_HEARTBEATS * this.options.heartbeatMs;
    if (!repeats) this.announce(changes);
    return true;
  }

  /**
   * Ends the life of a backend server that says that it leaves. A notice of
   * an earlier incarnation than the present one is ignored.
   */
  leave(id: string, incarnation?: number): void {
    const present = this.table.get(id);
    if (!present || (incarnation ?? Infinity) < present.incarnation) return;
    this.announce(this.table.apply({...present, state: PresenceState.Gone}));
  }

  /** Marks the backend servers that have missed their heartbeats. */
  expire(): void {
    const {heartbeatMs} = this.options;
    for (const presence of this.table.list()) {
      if (presence.state === PresenceState.Gone) continue;
      const heardMs = this.heardMs.get(presence.id) ?? this.now();
      const missed = (this.now() - heardMs) / heartbeatMs;
      if (missed > FORGOTTEN_HEARTBEATS) {
        this.announce(
          this.table.apply({...presence, state: PresenceState.Gone}),
        );
      } else if (missed > MISSED_HEARTBEATS) {
        const silent = {...presence, state: PresenceState.Silent};
        this.announce(this.table.apply(silent));
      }
    }
    this.table.deleteExpired();
  }

  /** What has changed since a position of this registry. */
  since(registryId: string, position: number): RegistryNews {
    const from = registryId === this.registryId ? position : 0;
    const reports = this.table
      .list()
      .filter(({id}) => (this.positions.get(id) ?? 0) > from);
    return {registryId: this.registryId, position: this.position, reports};
  }

  /** Resolves at the next change. */
  changed(): Promise<void> {
    return this.next.promise;
  }

  private announce(changes: readonly Presence[]): void {
    if (changes.length === 0) return;
    for (const presence of changes) {
      this.positions.set(presence.id, ++this.position);
      log.info('Backend server changed.', {
        backend: presence.id,
        state: presence.state,
        service: presence.service,
        address: formatAddress(presence.address),
        incarnation: presence.incarnation,
        sequence: presence.sequence,
      });
    }
    this.next.resolve();
    this.next = new Deferred<void>();
  }
}

function isUnchanged(before: Presence, now: Presence): boolean {
  return (
    before.incarnation === now.incarnation &&
    before.state === now.state &&
    before.service === now.service &&
    before.capacity === now.capacity &&
    before.address.host === now.address.host &&
    before.address.port === now.address.port
  );
}
