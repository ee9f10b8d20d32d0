/** Prompt and limits of one generation request. */
export interface GenerationJob {
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's blocks, for lookups in prefix caches. */
  readonly blockHashes: readonly string[];
  readonly maxTokens: number;
}

/** Receives the output tokens in order, each exactly once. */
export interface TokenSink {
  /** Resolves when the next token may be written. */
  write(text: string): Promise<void>;
}

/**
 * Progress and result of a generation, for the response and the request record.
 * The fields have the names of the record's fields, into which they are copied.
 */
export interface GenerationReport {
  /** Id of the backend server; those of a gang are joined by `+`. */
  backend: string;
  attempts: number;
  firstTokenMs?: number;
  /** Output tokens so far. */
  answerTokens: number;
  /** Prompt tokens that the engine found in its prefix cache. */
  cachedTokens: number;
}
