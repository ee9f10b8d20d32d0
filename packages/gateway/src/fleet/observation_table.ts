import type {IncarnationKey} from '../departures/departure_table.js';
import {BackendLiveness} from './backend_liveness.js';

/**
 * Time after its last response for which a control host counts as in contact.
 * It responds to each poll within 6.5 s, or its connection is replaced.
 */
const CONTACT_TTL_MS = 10_000;
/** Time without a word from a backend server after which it is given up. */
const UNHEARD_TTL_MS = 60_000;

/** Control host that hears backend servers, or has stopped hearing them. */
interface Observer {
  readonly registryId: string;
  readonly lastContactMs: number;
}

interface Observation {
  readonly incarnation: number;
  /** By control host, whether it hears the incarnation. */
  readonly isHeardBy: Map<string, boolean>;
  /** Since when no control host in contact has heard it. */
  unheardSinceMs?: number;
}

/**
 * Which control hosts hear which backend servers. A backend server sends its
 * heartbeats to one control host and moves to another one after a failed call,
 * so that silence at one of them says nothing while another one hears it.
 */
export class ObservationTable {
  private readonly observers = new Map<string, Observer>();
  private readonly observations = new Map<string, Observation>();

  /**
   * Records that a control host has responded. What it said before it restarted
   * with a new registry no longer counts.
   */
  recordContact(host: string, registryId: string, nowMs: number): void {
    const hosts = [...this.observers.keys()];
    if (!hosts.some(other => this.isInContact(other, nowMs))) {
      // While this host was cut off or suspended, nobody could tell it.
      for (const observation of this.observations.values())
        observation.unheardSinceMs = undefined;
    }
    const known = this.observers.get(host);
    if (known && known.registryId !== registryId) this.removeObserver(host);
    this.observers.set(host, {registryId, lastContactMs: nowMs});
  }

  /** Drops what a control host said that has left the group. */
  removeObserver(host: string): void {
    this.observers.delete(host);
    for (const {isHeardBy} of this.observations.values())
      isHeardBy.delete(host);
  }

  /** Records whether a control host hears an incarnation. */
  record(
    {id, incarnation}: IncarnationKey,
    host: string,
    isHeard: boolean,
  ): void {
    const known = this.observations.get(id);
    if (known && known.incarnation > incarnation) return;
    const isSame = known?.incarnation === incarnation;
    const observation: Observation = isSame
      ? known
      : {incarnation, isHeardBy: new Map()};
    observation.isHeardBy.set(host, isHeard);
    this.observations.set(id, observation);
  }

  /** Whether a control host said last that it hears an incarnation. */
  isHeardBy({id, incarnation}: IncarnationKey, host: string): boolean {
    const known = this.observations.get(id);
    return known?.incarnation === incarnation && !!known.isHeardBy.get(host);
  }

  /** Returns the control hosts that hear a backend server, as far as is known. */
  hosts(id: string): string[] {
    const isHeardBy = this.observations.get(id)?.isHeardBy ?? [];
    return [...isHeardBy].flatMap(([host, isHeard]) => (isHeard ? host : []));
  }

  /** Drops what is known about an incarnation. */
  remove({id, incarnation}: IncarnationKey): void {
    if (this.observations.get(id)?.incarnation === incarnation)
      this.observations.delete(id);
  }

  /** Judges an incarnation by what all control hosts say. */
  judge({id, incarnation}: IncarnationKey, nowMs: number): BackendLiveness {
    const observation = this.observations.get(id);
    if (observation?.incarnation !== incarnation) return BackendLiveness.Alive;
    const {isHeardBy} = observation;
    const hearing = [...isHeardBy.keys()].filter(host => isHeardBy.get(host));
    if (hearing.some(host => this.isInContact(host, nowMs))) {
      observation.unheardSinceMs = undefined;
      return BackendLiveness.Alive;
    }
    observation.unheardSinceMs ??= nowMs;
    const isOld = nowMs - observation.unheardSinceMs > UNHEARD_TTL_MS;
    // A control host that is out of reach for this host alone may hear it.
    if (hearing.length > 0)
      return isOld ? BackendLiveness.Silent : BackendLiveness.Alive;
    if (isOld) return BackendLiveness.Gone;
    return isHeardBy.size > 0 ? BackendLiveness.Silent : BackendLiveness.Alive;
  }

  private isInContact(host: string, nowMs: number): boolean {
    const {lastContactMs = -Infinity} = this.observers.get(host) ?? {};
    return nowMs - lastContactMs <= CONTACT_TTL_MS;
  }
}
