/** What the headers of a client's request say. */
export interface RequestFacts {
  /** Identifies one attempt of a client. */
  readonly attemptId: string;
  /** Time that the client will wait. */
  readonly patienceMs?: number;
  readonly key?: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxAnswerTokens: number;
  /** Estimate of the tokens of the answer. */
  readonly answerTokens: number;
  /** Id of the last event that the client has of a broken stream. */
  readonly lastEventId?: string;
}
