/** First pause after a failure; doubles with each further one. */
const FIRST_PAUSE_MS = 250;
/** Longest pause; a backend server that is back is tried within it. */
const MAX_PAUSE_MS = 4_000;
/** Weight of the newest outcome in the failure rate. */
const RATE_WEIGHT = 0.15;
/** Time in which the failure rate halves without new outcomes. */
const RATE_HALF_LIFE_MS = 5_000;

/** Judges a backend server by the outcomes of our own requests. */
export class FailureTracker {
  private streak = 0;
  private pausedUntilMs = Number.NEGATIVE_INFINITY;
  private rate = 0;
  private ratedMs = 0;

  /** The backend server answered. */
  succeed(nowMs: number): void {
    this.streak = 0;
    this.pausedUntilMs = Number.NEGATIVE_INFINITY;
    this.rateOutcome(0, nowMs);
  }

  /** The backend server answered with a failure of its own. */
  fail(nowMs: number): void {
    this.rateOutcome(1, nowMs);
  }

  /** The backend server could not be reached, or broke off. */
  breakOff(nowMs: number): void {
    this.streak++;
    const pauseMs = FIRST_PAUSE_MS * 2 ** (this.streak - 1);
    this.pausedUntilMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
    this.rateOutcome(1, nowMs);
  }

  /** Whether requests should go elsewhere for now. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  /** Recent share of failed requests, 0 to 1. */
  failureRate(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.ratedMs);
    return this.rate * 0.5 ** (ageMs / RATE_HALF_LIFE_MS);
  }

  private rateOutcome(outcome: number, nowMs: number): void {
    const rate = this.failureRate(nowMs);
    this.rate = rate + RATE_WEIGHT * (outcome - rate);
    this.ratedMs = nowMs;
  }
}
