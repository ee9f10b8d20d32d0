/**
 * Throws when an invariant does not hold. The process is meant to stop, with
 * the name of the invariant in its last log line.
 */
export function invariant(condition: boolean, name: string): asserts condition {
  if (!condition) {
    throw new Error(`broken invariant: ${name}`);
  }
}
