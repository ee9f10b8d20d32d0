const CHARACTERS_PER_TOKEN = 4;

/**
 * Estimates the number of tokens of a text from its length. Engines report the
 * exact number in their responses.
 */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
