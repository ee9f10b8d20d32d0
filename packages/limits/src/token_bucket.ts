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
  private level: number;
  private updatedMs: number;
  private readonly now: () => number;

  constructor(private readonly options: TokenBucketOptions) {
    this.now = options.now ?? monotonicMs;
    this.level = options.burstTokens;
    this.updatedMs = this.now();
  }

  /** Takes tokens. Returns 0, or the milliseconds until they can be taken. */
  take(tokens: number): number {
    this.refill();
    const needed = Math.min(tokens, this.options.burstTokens);
    if (this.level >= needed) {
      this.level -= tokens;
      return 0;
    }
    const missing = needed - this.level;
    return Math.ceil((missing / this.options.tokensPerSecond) * MS_PER_SECOND);
  }

  /** Gives back tokens of a request that was refused after all. */
  giveBack(tokens: number): void {
    this.level = Math.min(this.options.burstTokens, this.level + tokens);
  }

  private refill(): void {
    const nowMs = this.now();
    const elapsedMs = nowMs - this.updatedMs;
    this.updatedMs = nowMs;
    const gained = (elapsedMs / MS_PER_SECOND) * this.options.tokensPerSecond;
    this.level = Math.min(this.options.burstTokens, this.level + gained);
  }
}
