import type {Dispatcher} from 'undici';
import type {CheckedDispatchOptions} from './checked_dispatch_options.js';
import {ResponseCheck} from './response_check.js';

/** Interceptor that passes each response through a `ResponseCheck`. */
export const checkResponses: Dispatcher.DispatcherComposeInterceptor =
  dispatch => (options, handler) => {
    const check = new ResponseCheck(handler);
    const checkedOptions: CheckedDispatchOptions = {...options, check};
    return dispatch(checkedOptions, check);
  };
