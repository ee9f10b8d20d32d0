import {monotonicMs} from '@vanillamux/shared';

const MS_PER_SECOND = 1_000;

/** Options of a `TokenBucket`. */
export interface TokenBucketOptions {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  /** Tokens at the start; a full bucket by default. */
  readonly initialTokens?: number;
  readonly now?: () => number;
}

/**
 * Limits a rate in tokens. A request larger than the burst is admitted when the
 * bucket is full and leaves a negative balance, so that long prompts are not
 * refused forever.
 */
export class TokenBucket {
  private availableTokens: number;
  private updatedMs: number;
  private readonly now: () => number;

  constructor(private options: TokenBucketOptions) {
    this.now = options.now ?? monotonicMs;
    this.availableTokens = options.initialTokens ?? options.burstTokens;
    this.updatedMs = this.now();
  }

  /** Acquires tokens. Returns 0, or the milliseconds until it can succeed. */
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

  /** Changes the rate; tokens above the new burst are lost. */
  reconfigure(
    rate: Pick<TokenBucketOptions, 'tokensPerSecond' | 'burstTokens'>,
  ): void {
    this.refill();
    this.options = {...this.options, ...rate};
    this.availableTokens = Math.min(this.availableTokens, rate.burstTokens);
  }

  /** Returns the tokens of a request that was refused after acquiring them. */
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
