import type {Announcement} from '@vanillamux/protocol';

/** Prompt tokens of one cached block. */
export const BLOCK_TOKENS = 512;

type CacheEvents = Announcement['cache'];

/** An LRU cache of prompt prefixes, in blocks of `BLOCK_TOKENS`. */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();
  private events: CacheEvents = {stored: [], evicted: []};

  get tokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /**
   * Returns how many leading blocks are cached and marks them as recently used.
   */
  match(blocks: readonly string[]): number {
    let matchedBlocks = 0;
    for (const block of blocks) {
      if (!this.blocks.delete(block)) break;
      this.blocks.set(block, true);
      matchedBlocks++;
    }
    return matchedBlocks;
  }

  /** Stores the blocks of a processed prompt within `capacityTokens`. */
  store(blocks: readonly string[], capacityTokens: number): void {
    for (const block of blocks) {
      if (this.blocks.has(block)) continue;
      if (this.tokens + BLOCK_TOKENS > capacityTokens) return;
      this.blocks.set(block, true);
      this.events.stored.push(block);
    }
  }

  /**
   * Evicts the least recently used blocks until at most `capacityTokens` remain
   * cached.
   */
  evictTo(capacityTokens: number): void {
    for (const block of this.blocks.keys()) {
      if (this.tokens <= capacityTokens) return;
      this.blocks.delete(block);
      this.events.evicted.push(block);
    }
  }

  /** Returns the events since the last call and clears them. */
  drainEvents(): CacheEvents {
    const drained = this.events;
    this.events = {stored: [], evicted: []};
    return drained;
  }
}
