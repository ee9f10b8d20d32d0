import type {Presence} from '@vanillamux/protocol';
import type {DepartureFact} from './departure_fact.js';

/** Bound on the facts that are held, above the backend servers of a deployment. */
const MAX_FACTS = 2_048;
/** Time for which a fact about an incarnation that is not known is held. */
const UNKNOWN_TTL_MS = 30_000;

/** Identifies an incarnation of a backend server. */
export type IncarnationKey = Pick<Presence, 'id' | 'incarnation'>;

interface Entry {
  readonly fact: DepartureFact;
  /** When this host learned the fact, on the monotonic clock. */
  readonly learnedMs: number;
}

/**
 * Incarnations of backend servers that leave, at most one of each server. An
 * incarnation that leaves never comes back, whatever other reports say; a
 * restarted server is another incarnation.
 */
export class DepartureTable {
  private readonly entries = new Map<string, Entry>();

  /** Number of backend servers that leave. */
  get size(): number {
    return this.entries.size;
  }

  /** Whether an incarnation leaves. */
  has({id, incarnation}: IncarnationKey): boolean {
    return this.entries.get(id)?.fact.incarnation === incarnation;
  }

  /** Records a fact. Returns whether it is news. */
  record(fact: DepartureFact, nowMs: number): boolean {
    const known = this.entries.get(fact.backend)?.fact;
    if (known && known.incarnation >= fact.incarnation) return false;
    this.entries.delete(fact.backend);
    const [oldest] = this.entries.keys();
    if (this.entries.size >= MAX_FACTS && oldest !== undefined)
      this.entries.delete(oldest);
    this.entries.set(fact.backend, {fact, learnedMs: nowMs});
    return true;
  }

  /** Deletes the fact about an incarnation that has ended. */
  remove(key: IncarnationKey): void {
    if (this.has(key)) this.entries.delete(key.id);
  }

  /** Deletes old facts about incarnations that are not known. */
  deleteExpired(
    isKnown: (fact: DepartureFact) => boolean,
    nowMs: number,
  ): void {
    for (const [id, {fact, learnedMs}] of this.entries) {
      if (nowMs - learnedMs > UNKNOWN_TTL_MS && !isKnown(fact))
        this.entries.delete(id);
    }
  }

  /** Returns at most `count` facts; further calls return the others in turn. */
  takeFacts(count: number): DepartureFact[] {
    const taken = [...this.entries].slice(0, count);
    for (const [id, entry] of taken) {
      this.entries.delete(id);
      this.entries.set(id, entry);
    }
    return taken.map(([, {fact}]) => fact);
  }
}
