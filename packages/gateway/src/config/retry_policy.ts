/** Whether a request may reach more than one backend server. */
export enum RetryPolicy {
  Idempotent = 'idempotent',
  /** Runs at most once for each attempt of a client. */
  AtMostOnce = 'at_most_once',
}
