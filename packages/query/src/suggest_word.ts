import {distance} from 'fastest-levenshtein';

const MAX_DISTANCE = 2;

/** The known word nearest to a mistyped one, if one is near. */
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
