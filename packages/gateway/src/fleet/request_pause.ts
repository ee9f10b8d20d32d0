/** Pause in which a backend server wants no requests of this host. */
export class RequestPause {
  private untilMs = Number.NEGATIVE_INFINITY;

  /**
   * Starts a pause of `pauseMs`. A pause that lasts longer goes on: the backend
   * server has not taken it back.
   */
  extend(pauseMs: number, nowMs: number): void {
    this.untilMs = Math.max(this.untilMs, nowMs + pauseMs);
  }

  /** Time until the pause ends, in milliseconds; 0 without one. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.untilMs - nowMs);
  }
}
