const MAX_BLOCKS = 65_536;

/**
 * Which backend servers are believed to cache which prompt blocks. Cache
 * events come late and with gaps, so this is a hint; the engine's own figure
 * in each answer corrects it.
 */
export class PrefixIndex {
  private readonly backendsByBlock = new Map<string, Set<string>>();

  /** Notes that a backend server stores these blocks. */
  addBlocks(backendId: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const backends = this.backendsByBlock.get(block) ?? new Set<string>();
      backends.add(backendId);
      this.backendsByBlock.delete(block);
      this.backendsByBlock.set(block, backends);
    }
    this.trimToLimit();
  }

  /** Notes that a backend server has evicted these blocks. */
  removeBlocks(backendId: string, blocks: readonly string[]): void {
    for (const block of blocks) {
      const backends = this.backendsByBlock.get(block);
      backends?.delete(backendId);
      if (backends?.size === 0) this.backendsByBlock.delete(block);
    }
  }

  /** Leading blocks of a prompt that each backend server is believed to hold. */
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

  /** Forgets a backend server. */
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
