/** Permission to run a request, valid until it is released. */
export class Permit {
  private isReleased = false;

  constructor(private readonly onRelease: () => void) {}

  /** Releases the permit; later calls have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onRelease();
  }
}
