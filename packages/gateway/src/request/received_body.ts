/** A body that was received to its end. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Whether it is known to be whole, so that it may get a length. */
  readonly isProvenWhole: boolean;
}
