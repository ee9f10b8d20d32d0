/** A request, or a prefill share of one, that a virtual engine processes. */
export interface VirtualWork {
  /** Prompt tokens that this engine processes. */
  readonly promptTokens: number;
  /**
   * Pairs of a prompt token and an earlier token that this engine processes.
   */
  readonly promptPairs: number;
  /**
   * Tokens to generate after prefill; 0 for a prefill share of another engine's
   * prompt.
   */
  readonly outputTokens: number;
  /** Context that each decoding step reads, in tokens. */
  readonly contextTokens: number;
  /** Prefill shares of the prompt that other engines process. */
  readonly remotePrefillShares: number;
  /**
   * Entries of the list of helpers: the engines of those shares, and this one
   * if it has a reservation of its own.
   */
  readonly helperEntries?: number;
  /** Called when this engine has processed its prompt tokens. */
  readonly onPrefilled?: () => void;
  /**
   * Called with each group of output tokens; the last group completes the work.
   */
  readonly onEvent?: (isLast: boolean) => void;
}
