import {sleep} from './sleep.js';

/** Lets one task wait until another has work for it, or a time has passed. */
export class Wakeup {
  private pending = false;
  private waiter?: AbortController;

  /** Wakes the waiting task, or the next one that waits. */
  notify(): void {
    this.pending = true;
    this.waiter?.abort();
  }

  /** Waits for a notification, for `timeoutMs`, or until `signal` aborts. */
  async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) {
      const waiter = new AbortController();
      const stop = () => waiter.abort();
      this.waiter = waiter;
      signal.addEventListener('abort', stop, {once: true});
      await sleep(timeoutMs, waiter.signal);
      signal.removeEventListener('abort', stop);
      this.waiter = undefined;
    }
    this.pending = false;
  }
}
