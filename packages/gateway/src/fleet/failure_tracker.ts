/** Duration of the first ejection; doubles with each consecutive one. */
const BASE_EJECTION_MS = 250;
/** Longest ejection; a recovered backend server gets requests within it. */
const MAX_EJECTION_MS = 4_000;
/** First time for which a silent backend server is avoided. */
const BASE_SILENCE_MS = 500;
/** Weight of the newest outcome in the failure rate. */
const RATE_WEIGHT = 0.15;
/** Time in which the failure rate halves without new outcomes. */
const RATE_HALF_LIFE_MS = 5_000;

/** Rates and ejects a backend server by the outcomes of own attempts. */
export class FailureTracker {
  private consecutiveEjections = 0;
  private ejectedUntilMs = Number.NEGATIVE_INFINITY;
  private consecutiveSilences = 0;
  private silentUntilMs = Number.NEGATIVE_INFINITY;
  private rate = 0;
  private rateUpdatedMs = 0;

  /** Records a response without failure, which ends an ejection. */
  recordSuccess(nowMs: number): void {
    this.consecutiveEjections = 0;
    this.recordProgress();
    this.ejectedUntilMs = Number.NEGATIVE_INFINITY;
    this.updateRate(0, nowMs);
  }

  /** Records a response with a failure of the backend server itself. */
  recordFailure(nowMs: number): void {
    this.updateRate(1, nowMs);
  }

  /** Ejects a backend server that was unreachable or broke off a response. */
  eject(nowMs: number): void {
    this.consecutiveEjections++;
    const ejectionMs = BASE_EJECTION_MS * 2 ** (this.consecutiveEjections - 1);
    this.ejectedUntilMs = nowMs + Math.min(ejectionMs, MAX_EJECTION_MS);
    this.updateRate(1, nowMs);
  }

  /**
   * Avoids a backend server that is silent. Several requests that notice the
   * same silence count once; further silences without progress last longer.
   */
  recordSilence(nowMs: number): void {
    if (nowMs < this.silentUntilMs) return;
    const ejectionMs = BASE_SILENCE_MS * 2 ** this.consecutiveSilences;
    this.consecutiveSilences++;
    this.silentUntilMs = nowMs + Math.min(ejectionMs, MAX_EJECTION_MS);
    this.updateRate(1, nowMs);
  }

  /** Records that a backend server has sent something, which ends a silence. */
  recordProgress(): void {
    this.consecutiveSilences = 0;
    this.silentUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Whether requests should avoid the backend server for now. */
  isEjected(nowMs: number): boolean {
    return nowMs < Math.max(this.ejectedUntilMs, this.silentUntilMs);
  }

  /** Recent fraction of failed attempts, 0 to 1. */
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
