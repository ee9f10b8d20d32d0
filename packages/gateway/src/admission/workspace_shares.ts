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
   * Factor on the cost of refusing a workspace's request: lower the more it uses
   * beyond its share of what this host has granted. The mean over the engine time
   * that was granted is 1, so that no room is left unused.
   */
  factor(workspace: string | undefined, nowMs: number): number {
    if (workspace === undefined || this.usages.size < 2) return 1;
    const used = new Map<string, number>();
    let totalMs = 0;
    for (const [name, usage] of this.usages) {
      const usedMs = decayed(usage, nowMs);
      used.set(name, usedMs);
      totalMs += usedMs;
    }
    if (totalMs === 0) return 1;
    const fairMs = (TOLERANCE * totalMs) / used.size + MIN_ENGINE_MS;
    const rate = (usedMs: number): number =>
      Math.min(1, Math.max(MIN_FACTOR, fairMs / (usedMs + MIN_ENGINE_MS)));
    let mean = 0;
    for (const usedMs of used.values())
      mean += (usedMs / totalMs) * rate(usedMs);
    return rate(used.get(workspace) ?? 0) / mean;
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
