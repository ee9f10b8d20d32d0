/** Wraps a value as the successful variant of `Result`. */
export function succeed<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}
