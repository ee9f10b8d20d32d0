const DEPOSIT_PER_REQUEST = 0.2;
const MAX_BALANCE = 50;
const INITIAL_BALANCE = 10;
const MAX_WORKSPACES = 16_384;

/**
 * Bounds retries to a share of each workspace's requests, so that a fleet in
 * trouble is not loaded further by retries of everything.
 */
export class RetryBudget {
  private readonly balances = new Map<string, number>();

  /** Notes a first attempt, which earns a part of a retry. */
  deposit(workspace: string): void {
    const balance = this.balances.get(workspace) ?? INITIAL_BALANCE;
    // The least recently active workspace starts anew when it comes back.
    this.balances.delete(workspace);
    const [oldest] = this.balances.keys();
    if (this.balances.size >= MAX_WORKSPACES && oldest !== undefined) {
      this.balances.delete(oldest);
    }
    const nextBalance = Math.min(MAX_BALANCE, balance + DEPOSIT_PER_REQUEST);
    this.balances.set(workspace, nextBalance);
  }

  /** Takes one retry. Returns false when the budget is used up. */
  tryWithdraw(workspace: string): boolean {
    const balance = this.balances.get(workspace) ?? INITIAL_BALANCE;
    if (balance < 1) return false;
    this.balances.set(workspace, balance - 1);
    return true;
  }
}
