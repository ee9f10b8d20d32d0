/** Whether more than one backend server may run a request. */
export enum RetryPolicy {
  Idempotent = 'idempotent',
  /** Runs at most once for each request that a client sends. */
  AtMostOnce = 'at_most_once',
}
