import {monotonicMs} from './monotonic_ms.js';

const WINDOW_MS = 1_000;
/** Lines of one message in a second; a busy host decides some tens a second. */
const DEFAULT_MAX_LINES = 50;

/** Options of a `LogLimiter`. */
export interface LogLimiterOptions {
  /** Lines of one message that pass in a second. */
  readonly maxLines?: number;
  readonly now?: () => number;
}

interface RateWindow {
  startMs: number;
  lines: number;
  dropped: number;
}

/** Bounds how often each message is logged and counts what is left out. */
export class LogLimiter {
  private readonly windows = new Map<string, RateWindow>();
  private readonly maxLines: number;
  private readonly now: () => number;

  constructor(options: LogLimiterOptions = {}) {
    this.maxLines = options.maxLines ?? DEFAULT_MAX_LINES;
    this.now = options.now ?? monotonicMs;
  }

  /**
   * Takes a line of a message. Returns `undefined` when it is over the limit,
   * otherwise the number of lines left out since the last one that passed.
   */
  admit(key: string): number | undefined {
    const nowMs = this.now();
    let window = this.windows.get(key);
    if (!window) {
      window = {startMs: nowMs, lines: 0, dropped: 0};
      this.windows.set(key, window);
    }
    if (nowMs - window.startMs >= WINDOW_MS) {
      window.startMs = nowMs;
      window.lines = 0;
    }
    if (window.lines >= this.maxLines) {
      window.dropped++;
      return undefined;
    }
    window.lines++;
    const {dropped} = window;
    window.dropped = 0;
    return dropped;
  }

  /** Counts a line that passed but could not be written. */
  countDropped(key: string): void {
    const window = this.windows.get(key);
    if (window) window.dropped++;
  }
}
