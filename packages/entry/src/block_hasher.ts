import xxhash, {type XXHashAPI} from 'xxhash-wasm';

const BLOCK_CHARACTERS = 2_048;
const HEX = 16;

/** Hashes prompts in blocks; each hash covers everything before it too. */
export class BlockHasher {
  private constructor(private readonly api: XXHashAPI) {}

  static async create(): Promise<BlockHasher> {
    return new BlockHasher(await xxhash());
  }

  /** Hashes of the whole blocks of a prompt, as hexadecimal strings. */
  hash(prompt: string): string[] {
    const blocks: string[] = [];
    let previous = 0n;
    for (
      let end = BLOCK_CHARACTERS;
      end <= prompt.length;
      end += BLOCK_CHARACTERS
    ) {
      const block = prompt.slice(end - BLOCK_CHARACTERS, end);
      previous = this.api.h64(block, previous);
      blocks.push(previous.toString(HEX));
    }
    return blocks;
  }
}
