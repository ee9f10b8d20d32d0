/** What the headers of a client's request say. */
export interface RequestMetadata {
  /** Identifies one attempt of a client. */
  readonly requestId: string;
  /** Time that the client will wait. */
  readonly timeoutMs?: number;
  readonly key?: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens: number;
  /** Estimate of the tokens of the answer. */
  readonly expectedOutputTokens: number;
  /** Id of the last event that the client has of a broken stream. */
  readonly lastEventId?: string;
}
