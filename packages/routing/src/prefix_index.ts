const MAX_BLOCKS = 65_536;

/**
 * Tracks which backend servers probably cache which prompt blocks. Cache events
 * can be late or missing, so this is a hint; the number of tokens that were
 * cached is known from the engine's response.
 */
export class PrefixIndex {
  private readonly backendsByBlock = new Map<string, Set<string>>();

  /** Adds blocks that a backend server has stored. */
  addBlocks(backendId: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const backends = this.backendsByBlock.get(block) ?? new Set<string>();
      backends.add(backendId);
      // Moves the block to the end, as `trimToLimit` deletes from the start.
      this.backendsByBlock.delete(block);
      this.backendsByBlock.set(block, backends);
    }
    this.trimToLimit();
  }

  /** Removes blocks that a backend server has evicted. */
  removeBlocks(backendId: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const backends = this.backendsByBlock.get(block);
      backends?.delete(backendId);
      if (backends?.size === 0) this.backendsByBlock.delete(block);
    }
  }

  /** Counts the leading blocks that each backend server probably caches. */
  matchPrefix(blocks: readonly string[]): Map<string, number> {
    const matched = new Map<string, number>();
    let matching: Set<string> | undefined;
    for (let count = 0; count < blocks.length; count++) {
      const backends = this.backendsByBlock.get(blocks[count]!);
      if (!backends) break;
      matching = intersect(matching, backends);
      if (matching.size === 0) break;
      for (const id of matching) matched.set(id, count + 1);
    }
    return matched;
  }

  removeBackend(backendId: string): void {
    for (const [block, backends] of this.backendsByBlock) {
      backends.delete(backendId);
      if (backends.size === 0) this.backendsByBlock.delete(block);
    }
  }

  private trimToLimit(): void {
    for (const block of this.backendsByBlock.keys()) {
      if (this.backendsByBlock.size <= MAX_BLOCKS) return;
      this.backendsByBlock.delete(block);
    }
  }
}

function intersect(
  matching: Set<string> | undefined,
  backends: Set<string>,
): Set<string> {
  if (!matching) return new Set(backends);
  return new Set([...matching].filter(id => backends.has(id)));
}
