/** What a host knows of the quarantine of one prompt part. */
export interface QuarantineFact {
  readonly part: string;
  /** Number of quarantines of the part so far; a higher one is newer. */
  readonly generation: number;
  /** Whether a request with the part was answered; newer than the quarantine. */
  readonly isLifted: boolean;
  /** Time until a trial, in milliseconds; 0 once it is due. */
  readonly remainingMs: number;
}
