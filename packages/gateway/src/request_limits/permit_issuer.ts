import {TokenBucket} from '@vanillamux/limits';
import type {PermitRate} from './permit_rate.js';
import type {RequestLimitFact} from './request_limit_fact.js';

/**
 * Share of a limit that permits use up. The rest is for requests that were sent
 * before the limit was known, or that arrive closer together than permitted.
 */
const PLANNED_SHARE = 0.8;
/** Time whose permits may be issued at once. */
const BURST_S = 0.5;
/**
 * Permits for a backend server that takes no request, so that a response can
 * say that it takes some again.
 */
const MIN_PERMITS_PER_S = 0.1;

/** Issues the permits for the backend servers that this host owns. */
export class PermitIssuer {
  private readonly buckets = new Map<string, TokenBucket>();

  constructor(private readonly now?: () => number) {}

  /** Issues a permit. Returns 0, or the milliseconds until one is due. */
  issue({backend, perSecond}: RequestLimitFact, cold?: PermitRate): number {
    const tokensPerSecond = Math.max(
      MIN_PERMITS_PER_S,
      PLANNED_SHARE * (perSecond ?? 0),
    );
    return this.issueAt(backend, {
      tokensPerSecond: Math.min(
        tokensPerSecond,
        cold?.tokensPerSecond ?? Infinity,
      ),
      burstTokens: Math.min(
        Math.max(1, BURST_S * tokensPerSecond),
        cold?.burstTokens ?? Infinity,
      ),
    });
  }

  /** Issues a permit for a backend server without a limit, as `issue` does. */
  issueAt(backend: string, rate: PermitRate): number {
    let bucket = this.buckets.get(backend);
    if (bucket) bucket.reconfigure(rate);
    else {
      // The owner before may have issued the permits of this moment.
      bucket = new TokenBucket({...rate, initialTokens: 0, now: this.now});
      this.buckets.set(backend, bucket);
    }
    return bucket.tryAcquire(1);
  }

  /** Deletes the state of a backend server that has ended. */
  remove(backend: string): void {
    this.buckets.delete(backend);
  }
}
