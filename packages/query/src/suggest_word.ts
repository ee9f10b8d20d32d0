import {distance} from 'fastest-levenshtein';

const MAX_DISTANCE = 2;

/** Returns the known word nearest to a typo, within `MAX_DISTANCE` edits. */
export function suggestWord(
  word: string,
  knownWords: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let nearestDistance = MAX_DISTANCE + 1;
  for (const candidate of knownWords) {
    const editDistance = distance(word.toLowerCase(), candidate);
    if (editDistance === 0 || editDistance >= nearestDistance) continue;
    nearest = candidate;
    nearestDistance = editDistance;
  }
  return nearest;
}
