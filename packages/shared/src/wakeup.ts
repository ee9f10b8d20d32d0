/** Lets one task wait until another has work for it, or a time has passed. */
export class Wakeup {
  private pending = false;
  private resumeWaiter?: () => void;

  /** Wakes the waiting task, or the next one that waits. */
  notify(): void {
    this.pending = true;
    this.resumeWaiter?.();
  }

  /** Waits for a notification, for `timeoutMs`, or until `signal` aborts. */
  async wait(timeoutMs: number, signal: AbortSignal): Promise<void> {
    if (!this.pending && !signal.aborted) {
      await new Promise<void>(resolve => {
        const finish = (): void => {
          clearTimeout(timer);
          signal.removeEventListener('abort', finish);
          this.resumeWaiter = undefined;
          resolve();
        };
        const timer = setTimeout(finish, Math.max(0, timeoutMs));
        signal.addEventListener('abort', finish, {once: true});
        this.resumeWaiter = finish;
      });
    }
    this.pending = false;
  }
}
