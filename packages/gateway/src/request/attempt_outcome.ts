/** How an attempt at one backend server ended. */
export enum AttemptOutcome {
  /** The client has the whole answer. */
  Completed = 'delivered',
  /** No byte of the request has left. */
  NotSent = 'not_sent',
  /** The backend server states that it did not run the request. */
  NotRun = 'not_run',
  /** The backend server answered with a failure; the answer is kept. */
  FailureResponse = 'failure_answer',
  /** The request may have run and there is no whole answer. */
  Incomplete = 'broken',
  /** The client has left, or the time is over. */
  Cancelled = 'abandoned',
}
