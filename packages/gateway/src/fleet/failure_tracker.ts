/** First pause after a failure; doubles with each further one. */
const BASE_EJECTION_MS = 250;
/** Longest pause; a backend server that is back is tried within it. */
const MAX_EJECTION_MS = 4_000;
/** Weight of the newest outcome in the failure rate. */
const RATE_WEIGHT = 0.15;
/** Time in which the failure rate halves without new outcomes. */
const RATE_HALF_LIFE_MS = 5_000;

/** Judges a backend server by the outcomes of our own requests. */
export class FailureTracker {
  private consecutiveEjections = 0;
  private ejectedUntilMs = Number.NEGATIVE_INFINITY;
  private rate = 0;
  private rateUpdatedMs = 0;

  /** The backend server answered. */
  recordSuccess(nowMs: number): void {
    this.consecutiveEjections = 0;
    this.ejectedUntilMs = Number.NEGATIVE_INFINITY;
    this.updateRate(0, nowMs);
  }

  /** The backend server answered with a failure of its own. */
  recordFailure(nowMs: number): void {
    this.updateRate(1, nowMs);
  }

  /** The backend server could not be reached, or broke off. */
  eject(nowMs: number): void {
    this.consecutiveEjections++;
    const ejectionMs = BASE_EJECTION_MS * 2 ** (this.consecutiveEjections - 1);
    this.ejectedUntilMs = nowMs + Math.min(ejectionMs, MAX_EJECTION_MS);
    this.updateRate(1, nowMs);
  }

  /** Whether requests should go elsewhere for now. */
  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  /** Recent share of failed requests, 0 to 1. */
  failureRate(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.rateUpdatedMs);
    return this.rate * 0.5 ** (ageMs / RATE_HALF_LIFE_MS);
  }

  private updateRate(outcome: number, nowMs: number): void {
    const rate = this.failureRate(nowMs);
    this.rate = rate + RATE_WEIGHT * (outcome - rate);
    this.rateUpdatedMs = nowMs;
  }
}
