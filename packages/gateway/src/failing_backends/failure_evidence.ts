import {FailingPhase} from './failing_phase.js';

/** Time in which the weight of a failure halves. */
const HALF_LIFE_MS = 4_000;
/** Time after a failure in which a failing backend server is avoided. */
const AVOID_MS = 800;
/** Time after a failure from which on it counts as sound. */
const SOUND_AFTER_MS = 1_800;

/** Failures that all entry hosts together have had from a backend server. */
export class FailureEvidence {
  private weight = 0;
  private weighedMs = 0;
  private latestMs = Number.NEGATIVE_INFINITY;
  private isFailing = false;

  /** Records a failure of a request of this host. */
  record(nowMs: number): void {
    this.set(this.weightAt(nowMs) + 1, nowMs, nowMs);
  }

  /**
   * Merges what a peer knows: hosts tell each other the sum that they know, so
   * the highest counts, however often it is told.
   */
  merge(weight: number, ageMs: number, nowMs: number): void {
    const latestMs = Math.max(this.latestMs, nowMs - ageMs);
    this.set(Math.max(this.weightAt(nowMs), weight), latestMs, nowMs);
  }

  /** Records that it fails more requests than the others of its service. */
  judgeFailing(): void {
    this.isFailing = true;
  }

  /** Number of failures, fewer by their age. */
  weightAt(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.weighedMs);
    return this.weight * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /** Number of failures at the time of the latest one, fewer by their age. */
  weightAtLatest(nowMs: number): number {
    const ageMs = Math.max(0, this.ageMs(nowMs));
    return this.weightAt(nowMs) * 2 ** (ageMs / HALF_LIFE_MS);
  }

  /** Time since the latest failure. */
  ageMs(nowMs: number): number {
    return nowMs - this.latestMs;
  }

  /** Returns what the backend server may get. */
  phase(nowMs: number): FailingPhase {
    const ageMs = this.ageMs(nowMs);
    if (!this.isFailing || ageMs >= SOUND_AFTER_MS) return FailingPhase.Sound;
    return ageMs < AVOID_MS ? FailingPhase.Avoided : FailingPhase.Trial;
  }

  private set(weight: number, latestMs: number, nowMs: number): void {
    // What was judged before counts no more, but weighs on.
    if (this.phase(nowMs) === FailingPhase.Sound) this.isFailing = false;
    this.weight = weight;
    this.weighedMs = nowMs;
    this.latestMs = latestMs;
  }
}
