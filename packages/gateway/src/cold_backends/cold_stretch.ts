import {EnginePace} from '../fleet/engine_pace.js';

/** The time for which one incarnation of a backend server is cold. */
export class ColdStretch {
  private untilMs = Number.NEGATIVE_INFINITY;
  private latestSequence = Number.NEGATIVE_INFINITY;
  private stretchPace = new EnginePace();

  /** Pace of the engine in the latest stretch. */
  get pace(): EnginePace {
    return this.stretchPace;
  }

  /** The latest report that has said whether the server is cold. */
  get sequence(): number {
    return this.latestSequence;
  }

  /**
   * Records what a report says, from when it is received. Returns whether the
   * server has become cold, or is not cold any more.
   */
  record(sequence: number, forMs: number, nowMs: number): boolean {
    if (sequence <= this.latestSequence) return false;
    this.latestSequence = sequence;
    return this.recordResponse(forMs, nowMs);
  }

  /** Records what a response says, as `record` does. */
  recordResponse(forMs: number, nowMs: number): boolean {
    const wasCold = this.isCold(nowMs);
    if (!wasCold) this.stretchPace = new EnginePace();
    this.untilMs = nowMs + forMs;
    return this.isCold(nowMs) !== wasCold;
  }

  /** Whether the backend server is cold. */
  isCold(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  /** Time for which the backend server stays cold, in milliseconds. */
  leftMs(nowMs: number): number {
    return Math.max(0, this.untilMs - nowMs);
  }
}
