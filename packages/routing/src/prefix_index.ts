const MAX_BLOCKS = 65_536;

/**
 * Which backend servers are believed to cache which prompt blocks. Cache
 * events come late and with gaps, so this is a hint; the engine's own figure
 * in each answer corrects it.
 */
export class PrefixIndex {
  private readonly holders = new Map<string, Set<string>>();

  /** Notes that a backend server stores these blocks. */
  store(backendId: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const holders = this.holders.get(block) ?? new Set<string>();
      holders.add(backendId);
      this.holders.delete(block);
      this.holders.set(block, holders);
    }
    this.shrink();
  }

  /** Notes that a backend server has evicted these blocks. */
  evict(backendId: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const holders = this.holders.get(block);
      holders?.delete(backendId);
      if (holders?.size === 0) this.holders.delete(block);
    }
  }

  /** Leading blocks of a prompt that each backend server is believed to hold. */
  match(blocks: readonly string[]): Map<string, number> {
    const matched = new Map<string, number>();
    let running: Set<string> | undefined;
    for (let count = 0; count < blocks.length; count++) {
      const holders = this.holders.get(blocks[count]!);
      if (!holders) break;
      running = intersect(running, holders);
      if (running.size === 0) break;
      for (const id of running) matched.set(id, count + 1);
    }
    return matched;
  }

  /** Forgets a backend server. */
  forget(backendId: string): void {
    for (const [block, holders] of this.holders) {
      holders.delete(backendId);
      if (holders.size === 0) this.holders.delete(block);
    }
  }

  private shrink(): void {
    for (const block of this.holders.keys()) {
      if (this.holders.size <= MAX_BLOCKS) return;
      this.holders.delete(block);
    }
  }
}

function intersect(
  running: Set<string> | undefined,
  holders: Set<string>,
): Set<string> {
  if (!running) return new Set(holders);
  return new Set([...running].filter(id => holders.has(id)));
}
