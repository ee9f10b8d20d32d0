import {getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import type {BackendRegistry} from './backend_registry.js';
import type {EntryHostFeed} from './entry_host_feed.js';

const CHECK_INTERVAL_MS = 250;
/** Half of the shortest election timeout (`RaftTiming`). */
const LATE_MS = 200;

const log = getLogger('load');

/** Work by kind since the start of this control host. */
interface Work {
  readonly answers: number;
  readonly batches: number;
  readonly encodings: number;
  readonly documents: number;
  readonly heartbeats: number;
}

/** Logs when the event loop of this control host is late, and its work. */
export class LoadReporter {
  constructor(
    private readonly feed: EntryHostFeed,
    private readonly registry: BackendRegistry,
  ) {}

  /** Checks the event loop until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const before = this.work();
      const dueMs = monotonicMs() + CHECK_INTERVAL_MS;
      await sleep(CHECK_INTERVAL_MS, signal);
      const lateMs = Math.round(monotonicMs() - dueMs);
      if (lateMs >= LATE_MS) this.report(lateMs, before, this.work());
    }
  }

  private report(lateMs: number, before: Work, now: Work): void {
    log.warn('The event loop was late.', {
      lateMs,
      answers: now.answers - before.answers,
      batches: now.batches - before.batches,
      encodings: now.encodings - before.encodings,
      documents: now.documents - before.documents,
      heartbeats: now.heartbeats - before.heartbeats,
      waitingPolls: this.feed.waitingPolls,
    });
  }

  private work(): Work {
    return {...this.feed.counts, heartbeats: this.registry.heartbeats};
  }
}
