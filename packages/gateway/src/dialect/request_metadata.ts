/** Metadata from the headers of a client's request. */
export interface RequestMetadata {
  /** Identifies the request; a client that retries uses a new id. */
  readonly requestId: string;
  /** Timeout that the client states. */
  readonly timeoutMs?: number;
  readonly key?: string;
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly maxOutputTokens: number;
  /** Estimated number of output tokens. */
  readonly expectedOutputTokens: number;
  /** Ids of the prompt's parts that other requests may share, in order. */
  readonly sharedParts?: readonly string[];
  /** Id of the last event that the client received of a broken stream. */
  readonly lastEventId?: string;
}
