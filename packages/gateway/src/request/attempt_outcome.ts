/** Outcome of an attempt; metrics use it for whole requests too. */
export enum AttemptOutcome {
  /** The complete response was written to the client. */
  Completed = 'delivered',
  /** No byte of the request was sent. */
  NotSent = 'not_sent',
  /** The backend server states that it did not run the request. */
  NotRun = 'not_run',
  /** The backend server responded with a server error, which is kept. */
  FailureResponse = 'failure_answer',
  /** The request may have run, but no complete response arrived. */
  Incomplete = 'broken',
  /**
   * The response ended in order, but nothing proves that it is complete: its
   * backend server may have ended before that.
   */
  Unproven = 'unproven',
  /** The client disconnected, or the deadline passed. */
  Cancelled = 'abandoned',
  /** Another attempt of the same request made progress first. */
  Superseded = 'superseded',
}
