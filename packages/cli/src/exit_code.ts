/** Exit codes of `vmux`. */
export enum ExitCode {
  Ok = 0,
  /** The system could not be reached or refused the call. */
  Failed = 1,
  /** Arguments, settings or declarations are not valid. */
  BadInput = 2,
  /** Someone else changed the declarations first. */
  Conflict = 3,
  NotFound = 4,
  /** The record does not verify. */
  RecordFaulty = 5,
}
