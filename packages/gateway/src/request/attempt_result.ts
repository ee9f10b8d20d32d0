import type {Backend} from '../fleet/backend.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {ReceivedResponse} from './received_response.js';

/** Outcome of an attempt, with its reason. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly reason: string;
  /** Time after which the destination wants the request again. */
  readonly retryAfterMs?: number;
  /** Whether the backend server closed or reset the connection. */
  readonly isDisconnected?: boolean;
  /** Helper that is at fault, rather than the backend server asked. */
  readonly faultyHelper?: Backend;
  /**
   * Helper entries of a request that the backend server rejected as this host
   * has written it.
   */
  readonly rejectedHelperEntries?: number;
  /** Whether an entry host refused to relay, as it has lost the service too. */
  readonly hasLostService?: boolean;
  /** Id of an entry host that such a refusal names instead. */
  readonly referral?: string;
  /** Response with which the backend server reported a server error. */
  readonly failureResponse?: ReceivedResponse;
  /** Whole response of which nothing proves that it is complete. */
  readonly unprovenResponse?: ReceivedResponse;
}
