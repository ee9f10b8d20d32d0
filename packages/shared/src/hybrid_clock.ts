const COUNTER_DIGITS = 5;
/** Limit for observed timestamps; a peer further ahead has a wrong clock. */
const MAX_CLOCK_SKEW_MS = 60_000;

/**
 * A hybrid logical clock (Kulkarni et al., 2014). Timestamps are strings that
 * sort in causal order: ISO time in milliseconds, then a counter.
 */
export class HybridClock {
  private wallMs = 0;
  private counter = 0;
  /** ISO form of `wallMs`; cached, as many timestamps share a millisecond. */
  private wallTimeIso = '';

  constructor(private readonly readWallMs: () => number = Date.now) {}

  /** Returns a timestamp later than all returned or observed before. */
  now(): string {
    const wall = this.readWallMs();
    if (wall > this.wallMs) {
      this.setWallTime(wall);
      this.counter = 0;
    } else {
      this.counter++;
    }
    return this.format();
  }

  /**
   * Advances the clock past a timestamp received from another process. Ignores
   * a timestamp that is too far ahead, because the entries of this host's
   * record would then be dated in the future as well.
   */
  observe(timestamp: string): void {
    const [iso, counterText] = timestamp.split('~');
    const wall = Date.parse(iso ?? '');
    const counter = Number(counterText);
    if (!Number.isFinite(wall) || !Number.isInteger(counter)) return;
    if (wall < this.wallMs) return;
    if (wall > this.readWallMs() + MAX_CLOCK_SKEW_MS) return;
    this.counter =
      wall === this.wallMs ? Math.max(this.counter, counter) : counter;
    this.setWallTime(wall);
  }

  private setWallTime(wallMs: number): void {
    this.wallMs = wallMs;
    this.wallTimeIso = new Date(wallMs).toISOString();
  }

  private format(): string {
    return `${this.wallTimeIso}~${String(this.counter).padStart(COUNTER_DIGITS, '0')}`;
  }
}
