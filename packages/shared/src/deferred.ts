/** A promise together with the function that resolves it. */
export class Deferred<T> {
  readonly promise: Promise<T>;
  private resolvePromise: (value: T) => void = () => {};

  constructor() {
    this.promise = new Promise<T>(resolve => {
      this.resolvePromise = resolve;
    });
  }

  /** Resolves the promise; later calls have no effect. */
  resolve(value: T): void {
    this.resolvePromise(value);
  }
}
