/** Wraps an error as the failed variant of `Result`. */
export function fail<E extends Error>(
  error: E,
): {readonly ok: false; readonly error: E} {
  return {ok: false, error};
}
