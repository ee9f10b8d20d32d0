import type {Member} from '@vanillamux/consensus';

/** Returns the size that a list of members states; `undefined` before it does. */
export function recordedGroupSize(
  members: readonly Member[],
): number | undefined {
  const sizes = members.flatMap(({groupSize}) => groupSize ?? []);
  return sizes.length > 0 ? Math.max(...sizes) : undefined;
}
