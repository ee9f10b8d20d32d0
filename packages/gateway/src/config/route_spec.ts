import type {RetryPolicy} from './retry_policy.js';
import type {RouteTarget} from './route_target.js';

/** Services and forwarding rules for one host name and path prefix. */
export interface RouteSpec {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  /** Whether the response is a stream of server-sent events. */
  readonly isStream: boolean;
  /** Whether another backend server may continue an interrupted stream. */
  readonly isResumable: boolean;
  /** Longest time from the start of a request to the end of its response. */
  readonly timeoutMs: number;
  /** Goal for the time to the response, or to the first event of a stream. */
  readonly latencyGoalMs: number;
  /** Goal for the longest pause between two events of a stream. */
  readonly pauseGoalMs?: number;
  /** Priority of requests without a workspace; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most attempts of one request, not counting those that did not run. */
  readonly maxAttempts: number;
  /** Regions in which requests may be served; all if absent. */
  readonly regions?: readonly string[];
  /** Whether requests need no API key. */
  readonly isAnonymous: boolean;
}
