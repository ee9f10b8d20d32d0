import type {Backend} from '../fleet/backend.js';
import type {RequestLimitFact} from './request_limit_fact.js';

interface Entry {
  readonly fact: RequestLimitFact;
  /** When this host learned the fact, on the monotonic clock. */
  readonly learnedMs: number;
}

/**
 * Request limits of backend servers, at most one for each. Facts of other hosts
 * are merged: the newer generation wins, and in it the lower limit. An entry
 * ends with the incarnation of its backend server.
 */
export class RequestLimitTable {
  private readonly entries = new Map<string, Entry>();

  /** Number of backend servers that name a limit. */
  get size(): number {
    return [...this.entries.values()].filter(
      ({fact}) => fact.perSecond !== null,
    ).length;
  }

  /** Returns the fact about a backend server if it names a limit. */
  get({presence}: Backend): RequestLimitFact | undefined {
    const fact = this.entries.get(presence.id)?.fact;
    const isLimited =
      fact?.incarnation === presence.incarnation && fact.perSecond !== null;
    return isLimited ? fact : undefined;
  }

  /**
   * Records the limit that a response named to a request sent at `sentMs`, or
   * that it named none. Returns the new fact if the limit has changed.
   */
  observe(
    {presence}: Backend,
    perSecond: number | null,
    sentMs: number,
    nowMs: number,
  ): RequestLimitFact | undefined {
    const {id, incarnation} = presence;
    const entry = this.entries.get(id);
    const known = entry?.fact.incarnation === incarnation ? entry : undefined;
    if (perSecond === (known?.fact.perSecond ?? null)) return undefined;
    // The response may be older than the limit that it does not name.
    if (perSecond === null && known && sentMs < known.learnedMs)
      return undefined;
    const generation = (known?.fact.generation ?? 0) + 1;
    const fact = {backend: id, incarnation, generation, perSecond};
    this.entries.set(id, {fact, learnedMs: nowMs});
    return fact;
  }

  /** Merges a fact of another host. Returns whether it was news. */
  merge(fact: RequestLimitFact, nowMs: number): boolean {
    const known = this.entries.get(fact.backend)?.fact;
    const isNews =
      known?.incarnation !== fact.incarnation ||
      fact.generation > known.generation ||
      (fact.generation === known.generation &&
        (fact.perSecond ?? Infinity) < (known.perSecond ?? Infinity));
    if (isNews) this.entries.set(fact.backend, {fact, learnedMs: nowMs});
    return isNews;
  }

  /** Deletes what is known of a backend server whose incarnation has ended. */
  remove({presence}: Backend): void {
    const {id, incarnation} = presence;
    if (this.entries.get(id)?.fact.incarnation === incarnation)
      this.entries.delete(id);
  }

  /** Returns at most `count` facts; further calls return the others in turn. */
  takeFacts(count: number): RequestLimitFact[] {
    const taken = [...this.entries.entries()].slice(0, count);
    for (const [id, entry] of taken) {
      this.entries.delete(id);
      this.entries.set(id, entry);
    }
    return taken.map(([, {fact}]) => fact);
  }
}
