/** A prompt, or a part of one, that a virtual engine works on. */
export interface VirtualWork {
  /** Prompt tokens to process here. */
  readonly promptTokens: number;
  /** Pairs of a prompt token and an earlier one that are processed here. */
  readonly promptPairs: number;
  /** Tokens to write afterwards; 0 for a part of another engine's prompt. */
  readonly outputTokens: number;
  /** Context that its writing reads at each step, in tokens. */
  readonly contextTokens: number;
  /** Parts of its prompt that other engines process. */
  readonly remotePrefillShares: number;
  /** The prompt tokens have been processed here. */
  readonly onPrefilled?: () => void;
  /** A group of answer tokens was written; the last one ends the work. */
  readonly onEvent?: (isLast: boolean) => void;
}
