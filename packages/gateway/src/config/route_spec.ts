import type {RetryPolicy} from './retry_policy.js';
import type {RouteTarget} from './route_target.js';

/** Where requests of one host name and path prefix go, and how. */
export interface RouteSpec {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  /** The answer is a stream of events. */
  readonly isStream: boolean;
  /** A broken stream may be continued by another backend server. */
  readonly isResumable: boolean;
  /** Longest time that a client is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that is aimed at. */
  readonly latencyGoalMs: number;
  /** Longest pause between events that is aimed at. */
  readonly pauseGoalMs?: number;
  /** Urgency; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most backend servers that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isAnonymous: boolean;
}
