interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/**
 * Virtual time: callbacks run in the order of their times, and time passes
 * only between them.
 */
export class VirtualClock {
  private currentMs = 0;
  private nextSequence = 0;
  /** A binary heap; the earliest timer comes first. */
  private readonly timers: Timer[] = [];

  /** Milliseconds since the start. */
  get nowMs(): number {
    return this.currentMs;
  }

  /** Runs `run` in `delayMs`; those of one moment run in the order of calls. */
  schedule(delayMs: number, callback: () => void): void {
    const atMs = this.currentMs + Math.max(0, delayMs);
    this.pushTimer({atMs, sequence: this.nextSequence++, callback: callback});
  }

  /** Runs until nothing is left to do. */
  runUntilIdle(): void {
    for (;;) {
      const timer = this.popTimer();
      if (!timer) return;
      this.currentMs = timer.atMs;
      timer.callback();
    }
  }

  private pushTimer(timer: Timer): void {
    const {timers} = this;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, timers[parent]!)) break;
      timers[index] = timers[parent]!;
      index = parent;
    }
    timers[index] = timer;
  }

  private popTimer(): Timer | undefined {
    const {timers} = this;
    const earliest = timers[0];
    const last = timers.pop();
    if (!earliest || !last || timers.length === 0) return earliest;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= timers.length) break;
      const right = timers[child + 1];
      if (right && isBefore(right, timers[child]!)) child++;
      if (!isBefore(timers[child]!, last)) break;
      timers[index] = timers[child]!;
      index = child;
    }
    timers[index] = last;
    return earliest;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
