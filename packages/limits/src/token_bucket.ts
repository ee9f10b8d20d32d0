import {monotonicMs} from '@vanillamux/shared';

const MS_PER_SECOND = 1_000;

/** Options of a `TokenBucket`. */
export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  readonly now?: () => number;
}

/**
 * Limits a rate in tokens. A request larger than the burst is let through when
 * the bucket is full and leaves a debt, so that long prompts are not shut out.
 */
export class TokenBucket {
  private availableTokens: number;
  private updatedMs: number;
  private readonly now: () => number;

  constructor(private readonly options: TokenBucketOptions) {
    this.now = options.now ?? monotonicMs;
    this.availableTokens = options.burstTokens;
    this.updatedMs = this.now();
  }

  /** Takes tokens. Returns 0, or the milliseconds until they can be taken. */
  tryAcquire(tokens: number): number {
    this.refill();
    const requiredTokens = Math.min(tokens, this.options.burstTokens);
    if (this.availableTokens >= requiredTokens) {
      this.availableTokens -= tokens;
      return 0;
    }
    const missingTokens = requiredTokens - this.availableTokens;
    return Math.ceil(
      (missingTokens / this.options.tokensPerSecond) * MS_PER_SECOND,
    );
  }

  /** Gives back tokens of a request that was refused after all. */
  refund(tokens: number): void {
    this.availableTokens = Math.min(
      this.options.burstTokens,
      this.availableTokens + tokens,
    );
  }

  private refill(): void {
    const nowMs = this.now();
    const elapsedMs = nowMs - this.updatedMs;
    this.updatedMs = nowMs;
    const refilledTokens =
      (elapsedMs / MS_PER_SECOND) * this.options.tokensPerSecond;
    this.availableTokens = Math.min(
      this.options.burstTokens,
      this.availableTokens + refilledTokens,
    );
  }
}
