/** The right to run, until it is released. */
export class Permit {
  private isReleased = false;

  constructor(private readonly onRelease: () => void) {}

  /** Gives the right back; later calls have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onRelease();
  }
}
