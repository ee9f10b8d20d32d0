interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Virtual time: callbacks run in the order of their times, and time passes
 * only between them.
 */
export class VirtualClock {
  private now = 0;
  private order = 0;
  /** A binary heap; the earliest timer comes first. */
  private readonly timers: Timer[] = [];

  /** Milliseconds since the start. */
  get nowMs(): number {
    return this.now;
  }

  /** Runs `run` in `delayMs`; those of one moment run in the order of calls. */
  after(delayMs: number, run: () => void): void {
    const atMs = this.now + Math.max(0, delayMs);
    this.push({atMs, order: this.order++, run});
  }

  /** Runs until nothing is left to do. */
  run(): void {
    for (;;) {
      const timer = this.pop();
      if (!timer) return;
      this.now = timer.atMs;
      timer.run();
    }
  }

  private push(timer: Timer): void {
    const {timers} = this;
    let at = timers.length;
    timers.push(timer);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(timer, timers[parent]!)) break;
      timers[at] = timers[parent]!;
      at = parent;
    }
    timers[at] = timer;
  }

  private pop(): Timer | undefined {
    const {timers} = this;
    const first = timers[0];
    const last = timers.pop();
    if (!first || !last || timers.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= timers.length) break;
      const right = timers[child + 1];
      if (right && isBefore(right, timers[child]!)) child++;
      if (!isBefore(timers[child]!, last)) break;
      timers[at] = timers[child]!;
      at = child;
    }
    timers[at] = last;
    return first;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
