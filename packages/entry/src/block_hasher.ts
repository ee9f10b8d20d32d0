import xxhash, {type XXHashAPI} from 'xxhash-wasm';

const CHARACTERS_PER_BLOCK = 2_048;
const HEX_RADIX = 16;

/**
 * Hashes prompts block by block. Each hash is seeded with the hash of the block
 * before, so it identifies the whole prefix up to the end of its block.
 */
export class BlockHasher {
  private constructor(private readonly xxhashApi: XXHashAPI) {}

  static async create(): Promise<BlockHasher> {
    return new BlockHasher(await xxhash());
  }

  /** Returns hexadecimal hashes; an incomplete last block is left out. */
  hashBlocks(prompt: string): string[] {
    const hashes: string[] = [];
    let previousHash = 0n;
    for (
      let end = CHARACTERS_PER_BLOCK;
      end <= prompt.length;
      end += CHARACTERS_PER_BLOCK
    ) {
      const block = prompt.slice(end - CHARACTERS_PER_BLOCK, end);
      previousHash = this.xxhashApi.h64(block, previousHash);
      hashes.push(previousHash.toString(HEX_RADIX));
    }
    return hashes;
  }
}
