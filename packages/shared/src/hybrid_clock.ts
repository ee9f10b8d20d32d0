const COUNTER_DIGITS = 5;
/** A peer that is further ahead than this has a faulty clock. */
const MAX_CLOCK_SKEW_MS = 60_000;

/**
 * A hybrid logical clock (Kulkarni et al., 2014). Timestamps are strings that
 * sort in causal order: ISO time in milliseconds, then a counter.
 */
export class HybridClock {
  private wallMs = 0;
  private counter = 0;
  /** ISO form of `wallMs`; kept, because many stamps share a millisecond. */
  private wallTimeIso = '';

  constructor(private readonly readWallMs: () => number = Date.now) {}

  /** Returns a timestamp later than every one returned or observed before. */
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
   * Advances the clock past a timestamp received from another process, unless
   * that is so far ahead that it would drag this host's record along.
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
