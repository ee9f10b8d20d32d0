import {ERROR_DESCRIPTORS} from './error_descriptors.js';
import type {ErrorCodes} from './error_codes.js';
import {RunState} from './run_state.js';

/** Optional parts of a `VmuxError`. */
export interface VmuxErrorOptions {
  /** Replaces the default message of the code. */
  readonly message?: string;
  /** Whether a backend server ran the request; `RunState.NotRun` by default. */
  readonly ran?: RunState;
  /** Time in milliseconds to wait before a retry. */
  readonly retryAfterMs?: number;
  /** Name of the invalid field, if there is one. */
  readonly field?: string;
  /** The underlying error. */
  readonly cause?: unknown;
}

/** The wire form of a `VmuxError`. */
export interface VmuxErrorBody {
  readonly code: ErrorCodes;
  readonly message: string;
  readonly ran: RunState;
  readonly retryAfterMs?: number;
  readonly field?: string;
}

/** An expected failure with a stable code, returned in a `Result`. */
export class VmuxError extends Error {
  readonly code: ErrorCodes;
  readonly ran: RunState;
  readonly retryAfterMs?: number;
  readonly field?: string;

  constructor(code: ErrorCodes, options: VmuxErrorOptions = {}) {
    super(options.message ?? ERROR_DESCRIPTORS[code].message, {
      cause: options.cause,
    });
    this.name = 'VmuxError';
    this.code = code;
    this.ran = options.ran ?? RunState.NotRun;
    this.retryAfterMs = options.retryAfterMs;
    this.field = options.field;
  }

  /** HTTP status that belongs to the code. */
  get status(): number {
    return ERROR_DESCRIPTORS[this.code].status;
  }

  /** Returns the JSON form that is sent to callers and peers. */
  toBody(): VmuxErrorBody {
    return {
      code: this.code,
      message: this.message,
      ran: this.ran,
      retryAfterMs: this.retryAfterMs,
      field: this.field,
    };
  }

  /** Rebuilds an error from its wire form. */
  static fromBody(body: VmuxErrorBody): VmuxError {
    return new VmuxError(body.code, body);
  }
}
