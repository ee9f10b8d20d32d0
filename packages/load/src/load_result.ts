/** Percentiles of a duration in milliseconds. */
export interface TimeSummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Results of the requests in one length bucket. */
export interface BucketResult {
  readonly bucket: string;
  readonly sent: number;
  readonly completed: number;
  /** Time to first token, counted from the planned arrival. */
  readonly firstToken: TimeSummary;
  /** Time to first token over the prefill time on an unloaded engine. */
  readonly stretchP95: number;
}

/** Results of one API key. */
export interface ApiKeyResult {
  readonly apiKey: string;
  readonly completed: number;
  readonly promptTokens: number;
}

/** Results of an experiment. */
export interface LoadResult {
  readonly sent: number;
  readonly completed: number;
  readonly durationSeconds: number;
  readonly buckets: readonly BucketResult[];
  readonly keys: readonly ApiKeyResult[];
  /** Number of requests by error code. */
  readonly errors: Readonly<Record<string, number>>;
  /** Time until the client received a refusal. */
  readonly refusal: TimeSummary;
  /** Prompt tokens per second of requests completed within the duration. */
  readonly goodputTokensPerSecond: number;
}
