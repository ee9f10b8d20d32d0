/** The work of one generation request. */
export interface GenerationJob {
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's blocks, for the prefix cache. */
  readonly blockHashes: readonly string[];
  readonly maxTokens: number;
}

/** Receives the answer's tokens in order, each once. */
export interface TokenSink {
  /** Resolves when the next token may be sent. */
  write(text: string): Promise<void>;
}

/** How a generation went, for the caller and the record. */
export interface GenerationReport {
  backend: string;
  attempts: number;
  firstTokenMs?: number;
  answerTokens: number;
  cachedTokens: number;
}
