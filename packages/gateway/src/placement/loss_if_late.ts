import type {RequestMetadata} from '../dialect/request_metadata.js';

/** Cost of an output token in prompt tokens; decoding is more expensive. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
/** Tokens that are worth one credit; only ratios between requests matter. */
const TOKENS_PER_CREDIT = 14_000;
/** Fraction of its credit that a request loses when its response is late. */
const LATE_LOSS_FRACTION = 0.75;

/** Credit that a request loses when its response is late. */
export function lossIfLate(metadata: RequestMetadata): number {
  const weightedTokens =
    metadata.promptTokens +
    PROMPT_TOKENS_PER_OUTPUT_TOKEN * metadata.expectedOutputTokens;
  return (LATE_LOSS_FRACTION * weightedTokens) / TOKENS_PER_CREDIT;
}
