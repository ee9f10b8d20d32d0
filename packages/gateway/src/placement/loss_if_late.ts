import type {RequestMetadata} from '../dialect/request_metadata.js';

/** Work of an answer token in prompt tokens; decoding is that much dearer. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
/** Tokens that are worth one credit; only ratios between requests matter. */
const TOKENS_PER_CREDIT = 14_000;
/** Share of its credit that an answer loses when it is late. */
const LATE_LOSS_FRACTION = 0.75;

/** Credit that is lost when the answer to a request comes late. */
export function lossIfLate(metadata: RequestMetadata): number {
  const weightedTokens =
    metadata.promptTokens +
    PROMPT_TOKENS_PER_OUTPUT_TOKEN * metadata.expectedOutputTokens;
  return (LATE_LOSS_FRACTION * weightedTokens) / TOKENS_PER_CREDIT;
}
