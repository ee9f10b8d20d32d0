import {monotonicMs} from './monotonic_ms.js';

const WINDOW_MS = 1_000;
/**
 * Lines of one message per second. A busy host makes some tens of decisions per
 * second.
 */
const DEFAULT_MAX_LINES = 50;

/** Options of a `LogLimiter`. */
export interface LogLimiterOptions {
  /** Maximum number of lines of one message per second. */
  readonly maxLines?: number;
  readonly now?: () => number;
}

interface RateWindow {
  startMs: number;
  lines: number;
  dropped: number;
}

/** Limits the rate of each log message and counts the dropped lines. */
export class LogLimiter {
  private readonly windows = new Map<string, RateWindow>();
  private readonly maxLines: number;
  private readonly now: () => number;

  constructor(options: LogLimiterOptions = {}) {
    this.maxLines = options.maxLines ?? DEFAULT_MAX_LINES;
    this.now = options.now ?? monotonicMs;
  }

  /**
   * Counts a line against the limit of `key`. Returns `undefined` if the line
   * is over the limit, otherwise the number of lines dropped since the last
   * admitted line.
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

  /** Counts an admitted line that could not be written as dropped. */
  countDropped(key: string): void {
    const window = this.windows.get(key);
    if (window) window.dropped++;
  }
}
