import type {RequestFacts} from '../dialect/request_facts.js';

/** Work of an answer token in prompt tokens; decoding is that much dearer. */
const PROMPT_TOKENS_PER_ANSWER_TOKEN = 10;
/** Tokens that are worth one credit; only ratios between requests matter. */
const TOKENS_PER_CREDIT = 14_000;
/** Share of its credit that an answer loses when it is late. */
const LATE_LOSS = 0.75;
/** Share of an aimed time up to which a prediction is safe. */
const SAFE_SHARE = 0.7;
/** Share of an aimed time from which on a prediction is surely late. */
const LATE_SHARE = 1.1;

/** Credit that is lost when the answer to a request comes late. */
export function stakeOf(facts: RequestFacts): number {
  const tokens =
    facts.promptTokens + PROMPT_TOKENS_PER_ANSWER_TOKEN * facts.answerTokens;
  return (LATE_LOSS * tokens) / TOKENS_PER_CREDIT;
}

/** Chance, 0 to 1, that something predicted to take `ms` misses `goalMs`. */
export function lateChance(ms: number, goalMs: number): number {
  if (goalMs <= 0) return 0;
  const share = (ms / goalMs - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE);
  return Math.min(1, Math.max(0, share));
}
