/** The right to run, until it is released. */
export class Permit {
  private released = false;

  constructor(private readonly onRelease: () => void) {}

  /** Gives the right back; later calls have no effect. */
  release(): void {
    if (this.released) return;
    this.released = true;
    this.onRelease();
  }
}
