/** A range of prompt lengths whose requests are summarized together. */
export interface LengthBucket {
  readonly name: string;
  /** Largest prompt length in the bucket, in tokens. */
  readonly maxTokens: number;
}

/** Ranges of prompt lengths, the shortest first. */
export const LENGTH_BUCKETS: readonly LengthBucket[] = [
  {name: '1k-4k', maxTokens: 4_000},
  {name: '4k-32k', maxTokens: 32_000},
  {name: '32k-100k', maxTokens: 100_000},
  {name: '100k-500k', maxTokens: 500_000},
  {name: '500k-1m', maxTokens: 1_100_000},
];
