import type {RequestMetadata} from '../dialect/request_metadata.js';

/** Work of an answer token in prompt tokens; decoding is that much dearer. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 10;
/** Tokens that are worth one credit; only ratios between requests matter. */
const TOKENS_PER_CREDIT = 14_000;
/** Share of its credit that an answer loses when it is late. */
const LATE_LOSS = 0.75;

/** Credit that is lost when the answer to a request comes late. */
export function stakeOf(facts: RequestMetadata): number {
  const tokens =
    facts.promptTokens +
    PROMPT_TOKENS_PER_ANSWER_TOKEN * facts.expectedOutputTokens;
  return (LATE_LOSS * tokens) / TOKENS_PER_CREDIT;
}
