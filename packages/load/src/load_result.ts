/** Distribution of a time in milliseconds. */
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
  /** Time to first token over the engine's own unloaded prefill time. */
  readonly stretchP95: number;
}

/** Results of one workspace. */
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
  /** Requests by error code. */
  readonly errors: Readonly<Record<string, number>>;
  /** Time until a refusal was answered. */
  readonly refusal: TimeSummary;
  /** Prompt tokens a second of the requests that ended in time. */
  readonly goodputTokensPerSecond: number;
}
