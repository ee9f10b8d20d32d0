import {EventBus, getLogger} from '@vanillamux/shared';
import type {Stream} from 'most';
import type {ReachChange} from './reach_change.js';

/**
 * Backend servers of one service that have failed without a response in between
 * before the host takes itself to be cut off from the service.
 */
const LOST_BACKENDS = 3;
/** Age from which a failure says nothing of the present any more. */
const FAILURE_TTL_MS = 5_000;

const log = getLogger('reach');

/** Time after a response in which a failure casts no doubt on the service. */
const CONTACT_TTL_MS = 250;

interface ServiceEvidence {
  /** Backend servers that failed since the last response, by time. */
  readonly failedAtMs: Map<string, number>;
  lostMs?: number;
  isConfirmed?: boolean;
}

/**
 * Tells whether this host reaches the backend servers of a service. One server
 * that fails says nothing of the host. If several fail and none responds, the
 * host is cut off, or all of them are down; other hosts know which.
 */
export class ServiceReach {
  private readonly services = new Map<string, ServiceEvidence>();
  /** When a server of each service last responded. */
  private readonly contactMs = new Map<string, number>();
  private readonly changeBus = new EventBus<ReachChange>();
  private readonly doubtBus = new EventBus<string>();

  /** Streams each service that is lost or reached again. */
  changes(): Stream<ReachChange> {
    return this.changeBus.stream();
  }

  /** Streams each service in doubt. */
  doubts(): Stream<string> {
    return this.doubtBus.stream();
  }

  /**
   * Records that a backend server could not be reached, or fell silent or broke
   * off before it responded. `backends` is the number of servers of the service.
   */
  recordFailure(
    service: string,
    backendId: string,
    backends: number,
    nowMs: number,
  ): void {
    const evidence: ServiceEvidence = this.services.get(service) ?? {
      failedAtMs: new Map(),
    };
    this.services.set(service, evidence);
    for (const [id, atMs] of evidence.failedAtMs) {
      if (nowMs - atMs > FAILURE_TTL_MS) evidence.failedAtMs.delete(id);
    }
    evidence.failedAtMs.set(backendId, nowMs);
    const {size} = evidence.failedAtMs;
    if (evidence.lostMs !== undefined) return;
    if (size < Math.max(1, Math.min(LOST_BACKENDS, backends))) {
      const contactMs = this.contactMs.get(service) ?? -Infinity;
      if (nowMs - contactMs > CONTACT_TTL_MS) this.doubt(service);
      return;
    }
    evidence.lostMs = nowMs;
    log.warn('Lost every backend server of a service.', {
      service,
      failed: [...evidence.failedAtMs.keys()].join(),
      backends,
      evidenceMs: Math.round(nowMs - Math.min(...evidence.failedAtMs.values())),
    });
    this.changeBus.emit({service, isLost: true});
  }

  /** Casts doubt on a service. */
  doubt(service: string): void {
    this.doubtBus.emit(service);
  }

  /** Records that a backend server has responded or accepted a connection. */
  recordContact(service: string, backendId: string, nowMs: number): void {
    this.contactMs.set(service, nowMs);
    const evidence = this.services.get(service);
    if (!evidence) return;
    this.services.delete(service);
    if (evidence.lostMs === undefined) return;
    log.info('Reached a backend server of a lost service again.', {
      service,
      backend: backendId,
      lostMs: Math.round(nowMs - evidence.lostMs),
    });
    this.changeBus.emit({service, isLost: false});
  }

  /** Whether a backend server of the service has responded since the start. */
  hasHadContact(service: string): boolean {
    return this.contactMs.has(service);
  }

  /** Whether the host seems to be cut off from the service. */
  isLost(service: string): boolean {
    return this.services.get(service)?.lostMs !== undefined;
  }

  /** Records that probes of a lost service have failed as well. */
  confirmLoss(service: string): void {
    const evidence = this.services.get(service);
    if (evidence?.lostMs !== undefined) evidence.isConfirmed = true;
  }

  /** Whether the service is lost and probes have failed as well. */
  isConfirmedLost(service: string): boolean {
    return this.services.get(service)?.isConfirmed === true;
  }

  /** Services that the host seems to be cut off from. */
  lostServices(): string[] {
    return [...this.services.keys()].filter(service => this.isLost(service));
  }
}
