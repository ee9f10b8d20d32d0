import xxhash, {type XXHashAPI} from 'xxhash-wasm';

const CHARACTERS_PER_BLOCK = 2_048;
const HEX_RADIX = 16;

/** Hashes prompts in blocks; each hash covers everything before it too. */
export class BlockHasher {
  private constructor(private readonly xxhashApi: XXHashAPI) {}

  static async create(): Promise<BlockHasher> {
    return new BlockHasher(await xxhash());
  }

  /** Hashes of the whole blocks of a prompt, as hexadecimal strings. */
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
