/**
 * Throws if an invariant does not hold. The error is meant to stop the process
 * and to put the name of the invariant into its last log line.
 */
export function invariant(condition: boolean, name: string): asserts condition {
  if (!condition) {
    throw new Error(`broken invariant: ${name}`);
  }
}
