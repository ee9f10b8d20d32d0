/**
 * Runs a task for callers that need a result from after their call. Calls that
 * come while it runs share one further run, so that at most one runs at a time.
 */
export class SharedTask<T> {
  private running?: Promise<T>;
  private next?: Promise<T>;

  constructor(private readonly task: () => Promise<T>) {}

  /** Returns the result of a run that begins with this call or after it. */
  run(): Promise<T> {
    if (!this.running) return this.start();
    this.next ??= this.runAfter(this.running);
    return this.next;
  }

  private async runAfter(running: Promise<T>): Promise<T> {
    await Promise.allSettled([running]);
    this.next = undefined;
    return this.start();
  }

  private start(): Promise<T> {
    const running = this.task();
    this.running = running;
    const onDone = (): void => {
      // A further run has begun by now if there were calls for one.
      if (this.running === running && !this.next) this.running = undefined;
    };
    void running.then(onDone, onDone);
    return running;
  }
}
