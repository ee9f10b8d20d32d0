import type {VmuxError} from './vmux_error.js';

/** The outcome of an operation that may fail: a value or a typed error. */
export type Result<T, E extends Error = VmuxError> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly error: E};
