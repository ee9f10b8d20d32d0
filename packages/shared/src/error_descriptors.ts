import {ErrorCodes} from './error_codes.js';

/** HTTP status and default message of one error code. */
export interface ErrorDescriptor {
  readonly status: number;
  readonly message: string;
}

/** Status and default message of each error code. */
export const ERROR_DESCRIPTORS: Readonly<Record<ErrorCodes, ErrorDescriptor>> =
  {
    [ErrorCodes.BadSettings]: {status: 400, message: 'settings are not valid'},
    [ErrorCodes.BadRequest]: {status: 400, message: 'request is not valid'},
    [ErrorCodes.BodyTooLarge]: {
      status: 413,
      message: 'request body is larger than the limit',
    },
    [ErrorCodes.MissingKey]: {
      status: 401,
      message: 'send an API key in the Authorization header',
    },
    [ErrorCodes.UnknownKey]: {
      status: 401,
      message: 'API key belongs to no workspace',
    },
    [ErrorCodes.UnknownModel]: {
      status: 404,
      message: 'no routing rule serves this model',
    },
    [ErrorCodes.UnknownService]: {
      status: 404,
      message: 'no such service is declared',
    },
    [ErrorCodes.UnknownClass]: {
      status: 400,
      message: 'no such class of work is declared',
    },
    [ErrorCodes.NotFound]: {status: 404, message: 'not found'},
    [ErrorCodes.PromptTooLong]: {
      status: 413,
      message: 'prompt is longer than the whole fleet can hold',
    },
    [ErrorCodes.NoBackend]: {
      status: 503,
      message: 'no backend server is available',
    },
    [ErrorCodes.DeadlineUnreachable]: {
      status: 503,
      message: 'request cannot finish before its deadline',
    },
    [ErrorCodes.DeadlineExceeded]: {
      status: 504,
      message: 'deadline passed before the request finished',
    },
    [ErrorCodes.RateLimited]: {
      status: 429,
      message: 'workspace is over its token rate',
    },
    [ErrorCodes.ConcurrencyLimited]: {
      status: 429,
      message: 'workspace is over its concurrency limit',
    },
    [ErrorCodes.QueueFull]: {
      status: 429,
      message: 'queue of the class is full',
    },
    [ErrorCodes.Overloaded]: {
      status: 503,
      message: 'shed because the fleet is overloaded',
    },
    [ErrorCodes.ShuttingDown]: {
      status: 503,
      message: 'this host is shutting down',
    },
    [ErrorCodes.NotReady]: {status: 503, message: 'this host is not ready'},
    [ErrorCodes.KeyReused]: {
      status: 422,
      message: 'idempotency key was used with another body',
    },
    [ErrorCodes.StillRunning]: {
      status: 409,
      message: 'the first request with this key is still running',
    },
    [ErrorCodes.OutcomeUnknown]: {
      status: 409,
      message: 'outcome of the request with this key is unknown',
    },
    [ErrorCodes.IdempotencyKeyRequired]: {
      status: 400,
      message: 'this request is at-most-once; send an Idempotency-Key header',
    },
    [ErrorCodes.NoQuorum]: {
      status: 503,
      message: 'control group has no quorum',
    },
    [ErrorCodes.NotLeader]: {
      status: 503,
      message: 'this control host is not the leader',
    },
    [ErrorCodes.VersionConflict]: {
      status: 409,
      message: 'declarations changed since the expected version',
    },
    [ErrorCodes.BackendRefused]: {
      status: 503,
      message: 'backend server refused the request',
    },
    [ErrorCodes.BackendFailed]: {
      status: 502,
      message: 'backend server failed during the request',
    },
    [ErrorCodes.BackendSilent]: {
      status: 504,
      message: 'backend server went silent during the request',
    },
    [ErrorCodes.Cancelled]: {status: 499, message: 'request was cancelled'},
    [ErrorCodes.TransportFailed]: {
      status: 502,
      message: 'connection to the peer failed',
    },
    [ErrorCodes.Timeout]: {status: 504, message: 'call timed out'},
    [ErrorCodes.DataFolderUnusable]: {
      status: 500,
      message: 'data folder cannot be used',
    },
    [ErrorCodes.PortTaken]: {status: 500, message: 'address is already in use'},
    [ErrorCodes.LogDamaged]: {
      status: 500,
      message: 'log is damaged before its tail',
    },
    [ErrorCodes.StaleFencing]: {
      status: 409,
      message: 'order carries an old fencing number',
    },
    [ErrorCodes.Internal]: {status: 500, message: 'internal error'},
  };
