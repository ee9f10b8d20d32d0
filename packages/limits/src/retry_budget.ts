const DEPOSIT_PER_REQUEST = 0.2;
const MAX_BALANCE = 50;
const INITIAL_BALANCE = 10;
const MAX_WORKSPACES = 16_384;

/**
 * Limits retries to a fraction of each workspace's requests, so that retries of
 * every request do not add load to a fleet that is already failing.
 */
export class RetryBudget {
  private readonly balances = new Map<string, number>();

  /** Records a first attempt, which adds a fraction of a retry. */
  deposit(workspace: string): void {
    const balance = this.balances.get(workspace) ?? INITIAL_BALANCE;
    // The least recently active workspace is deleted at the limit and has the
    // initial balance when it is active again.
    this.balances.delete(workspace);
    const [oldest] = this.balances.keys();
    if (this.balances.size >= MAX_WORKSPACES && oldest !== undefined) {
      this.balances.delete(oldest);
    }
    const nextBalance = Math.min(MAX_BALANCE, balance + DEPOSIT_PER_REQUEST);
    this.balances.set(workspace, nextBalance);
  }

  /** Withdraws one retry. Returns whether the balance allowed it. */
  tryWithdraw(workspace: string): boolean {
    const balance = this.balances.get(workspace) ?? INITIAL_BALANCE;
    if (balance < 1) return false;
    this.balances.set(workspace, balance - 1);
    return true;
  }
}
