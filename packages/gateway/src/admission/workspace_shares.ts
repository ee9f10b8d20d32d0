/** Workspaces that are remembered; the one that was not used longest makes room. */
const MAX_WORKSPACES = 256;
/** Time in which engine time that was granted loses most of its weight. */
const DECAY_MS = 10_000;
/** Multiple of an equal share that a workspace may use while room is scarce. */
const TOLERANCE = 1.5;
/** Engine time below which shares are not compared. */
const MIN_ENGINE_MS = 5_000;
/** Lowest factor; no workspace is starved. */
const MIN_FACTOR = 0.6;

interface Usage {
  engineMs: number;
  atMs: number;
}

/** Engine time that this host has granted to each workspace lately. */
export class WorkspaceShares {
  private readonly usages = new Map<string, Usage>();

  /**
   * Factor on the cost of refusing a workspace's request: below 1 if it uses
   * more than its share of what this host has granted.
   */
  factor(workspace: string | undefined, nowMs: number): number {
    if (workspace === undefined || this.usages.size < 2) return 1;
    let total = 0;
    for (const usage of this.usages.values()) total += decayed(usage, nowMs);
    const own = this.usages.get(workspace);
    if (!own) return 1;
    const fairMs = (TOLERANCE * total) / this.usages.size + MIN_ENGINE_MS;
    const factor = fairMs / (decayed(own, nowMs) + MIN_ENGINE_MS);
    return Math.min(1, Math.max(MIN_FACTOR, factor));
  }

  /** Counts a request that was admitted. */
  add(workspace: string | undefined, engineMs: number, nowMs: number): void {
    if (workspace === undefined) return;
    const usage = this.usages.get(workspace);
    const usedMs = usage ? decayed(usage, nowMs) : 0;
    this.usages.delete(workspace);
    this.usages.set(workspace, {engineMs: usedMs + engineMs, atMs: nowMs});
    if (this.usages.size <= MAX_WORKSPACES) return;
    const [oldest] = this.usages.keys();
    if (oldest !== undefined) this.usages.delete(oldest);
  }
}

function decayed({engineMs, atMs}: Usage, nowMs: number): number {
  return engineMs * Math.exp((atMs - nowMs) / DECAY_MS);
}
