import {monotonicMs} from './monotonic_ms.js';

const TICK_MS = 100;

/** Time for which a process stood still. */
interface Stall {
  readonly endedMs: number;
  readonly lengthMs: number;
}

/** Options of a `StallMonitor`. */
export interface StallMonitorOptions {
  /** Time for which a stall counts after its end, in milliseconds. */
  readonly windowMs: number;
  readonly now?: () => number;
}

/**
 * Measures how long this process read nothing, as it was suspended, had no
 * processor time or was busy with one task. Whatever it reads right after that
 * may have arrived as long ago.
 */
export class StallMonitor {
  private readonly windowMs: number;
  private readonly now: () => number;
  private readonly timer: NodeJS.Timeout;
  private stalls: Stall[] = [];
  private tickedMs: number;

  constructor({windowMs, now = monotonicMs}: StallMonitorOptions) {
    this.windowMs = windowMs;
    this.now = now;
    this.tickedMs = now();
    this.timer = setInterval(() => this.tick(), TICK_MS).unref();
  }

  /** Longest stall in milliseconds that lasts or ended within the window. */
  longestMs(): number {
    const sinceMs = this.now() - this.windowMs;
    const lengths = this.stalls
      .filter(({endedMs}) => endedMs > sinceMs)
      .map(({lengthMs}) => lengthMs);
    return Math.max(this.lateness(), ...lengths);
  }

  /** Records how late this tick is; the timer calls it. */
  tick(): void {
    const now = this.now();
    const lengthMs = this.lateness();
    this.tickedMs = now;
    this.stalls = this.stalls.filter(
      ({endedMs}) => endedMs > now - this.windowMs,
    );
    if (lengthMs > 0) this.stalls.push({endedMs: now, lengthMs});
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private lateness(): number {
    return Math.max(0, this.now() - this.tickedMs - TICK_MS);
  }
}
