import type {Announcement} from '@vanillamux/protocol';

/** Prompt tokens that one cached block stands for. */
export const BLOCK_TOKENS = 512;

type CacheEvents = Announcement['cache'];

/** Cached prompt prefixes in block units, least recently used first. */
export class PrefixCache {
  private readonly blocks = new Map<string, true>();
  private events: CacheEvents = {stored: [], evicted: []};

  get tokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  /** Leading blocks that are cached; marks them as recently used. */
  match(blocks: readonly string[]): number {
    let matchedBlocks = 0;
    for (const block of blocks) {
      if (!this.blocks.delete(block)) break;
      this.blocks.set(block, true);
      matchedBlocks++;
    }
    return matchedBlocks;
  }

  /** Stores the blocks of a finished prompt within `capacityTokens`. */
  store(blocks: readonly string[], capacityTokens: number): void {
    for (const block of blocks) {
      if (this.blocks.has(block)) continue;
      if (this.tokens + BLOCK_TOKENS > capacityTokens) return;
      this.blocks.set(block, true);
      this.events.stored.push(block);
    }
  }

  /** Evicts until at most `capacityTokens` remain cached. */
  evictTo(capacityTokens: number): void {
    for (const block of this.blocks.keys()) {
      if (this.tokens <= capacityTokens) return;
      this.blocks.delete(block);
      this.events.evicted.push(block);
    }
  }

  /** Returns and forgets the events since the last call. */
  drainEvents(): CacheEvents {
    const drained = this.events;
    this.events = {stored: [], evicted: []};
    return drained;
  }
}
