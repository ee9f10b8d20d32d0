/** Exit codes of `vmux`. */
export enum ExitCode {
  Ok = 0,
  /** A host could not be reached, or it refused the call. */
  Failed = 1,
  /** Arguments, settings or declarations are not valid. */
  BadInput = 2,
  /** The declarations have changed, or the outcome to settle is not unknown. */
  Conflict = 3,
  NotFound = 4,
  /** Verification found corruption in the record. */
  RecordFaulty = 5,
}
