import type {Dispatcher} from 'undici';
import type {ResponseCheck} from './response_check.js';

/** Options of a call through `checkResponses`, for its `CheckedClient`. */
export interface CheckedDispatchOptions extends Dispatcher.DispatchOptions {
  readonly check?: ResponseCheck;
}
