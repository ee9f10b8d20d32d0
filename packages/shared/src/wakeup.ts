/** Lets one task wait until another has work for it, or a time has passed. */
export class Wakeup {
  private pending = false;
  private wake?: () => void;

  /** Wakes the waiting task, or the next one that waits. */
  notify(): void {
    this.pending = true;
    this.wake?.();
  }

  /** Waits for a notification, for `timeoutMs`, or until `signal` aborts. */
  async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) {
      await new Promise<void>(resolve => {
        const end = (): void => {
          clearTimeout(timer);
          signal.removeEventListener('abort', end);
          this.wake = undefined;
          resolve();
        };
        const timer = setTimeout(end, Math.max(0, timeoutMs));
        signal.addEventListener('abort', end, {once: true});
        this.wake = end;
      });
    }
    this.pending = false;
  }
}
