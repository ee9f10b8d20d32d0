/** Declared costs and sizes of the model engines of a service. */
export interface EngineSpec {
  /** Sequences that an engine processes at once. */
  readonly batchSize: number;
  /** Tokens of context that fit into the KV memory of an engine. */
  readonly memoryTokens: number;
  /** Duration of one decoding step. */
  readonly stepMs: number;
  /** Added to a step for each decoding sequence. */
  readonly stepMsPerSequence: number;
  /** Added to a step for each 1,000 tokens of decoding context. */
  readonly stepMsPerThousandTokens: number;
  /** Prompt tokens processed in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Added for each million pairs of a prompt token and an earlier token. */
  readonly prefillMsPerMillionPairs: number;
  /** Decoding steps of one scheduling iteration. */
  readonly stepsPerPass: number;
  /** Most prompt tokens processed in one step (chunked prefill). */
  readonly chunkTokens: number;
}
