import {distance} from 'fastest-levenshtein';

const MAX_DISTANCE = 2;

/** The known word nearest to a mistyped one, if one is near. */
export function suggestWord(
  word: string,
  known: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestDistance = MAX_DISTANCE + 1;
  for (const candidate of known) {
    const steps = distance(word.toLowerCase(), candidate);
    if (steps === 0 || steps >= bestDistance) continue;
    best = candidate;
    bestDistance = steps;
  }
  return best;
}
