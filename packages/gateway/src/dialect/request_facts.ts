/** Metadata from the headers of a client's request. */
export interface RequestFacts {
  /** Identifies the request; a client that retries uses a new id. */
  readonly attemptId: string;
  /** Timeout that the client states. */
  readonly patienceMs?: number;
  readonly key?: string;
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly maxAnswerTokens: number;
  /** Estimated number of output tokens. */
  readonly answerTokens: number;
  /** Id of the last event that the client received of a broken stream. */
  readonly lastEventId?: string;
}
