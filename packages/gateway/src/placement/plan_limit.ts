/** How many helper entries the next plan of one request may have. */
export class PlanLimit {
  private hasSmallerPlan = true;

  /** Starts from the entries that the dialect can express. */
  constructor(private entries: number) {}

  /** Entries that the next plan may have. */
  get maxHelperEntries(): number {
    return this.entries;
  }

  /** Whether there is a plan that no backend server has rejected. */
  get allowsAttempt(): boolean {
    return this.hasSmallerPlan;
  }

  /**
   * Learns that a backend server has rejected a request with so many entries as
   * malformed. The next plan has at most half of them, so that few attempts
   * lead to one engine alone; after that there is no other plan.
   */
  recordRejection(entries: number): void {
    if (entries === 0) this.hasSmallerPlan = false;
    this.entries = Math.min(this.entries, Math.floor(entries / 2));
  }
}
