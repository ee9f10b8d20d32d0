/** What a host knows of the quarantine of one suspect. */
export interface QuarantineFact {
  readonly suspect: string;
  /** Number of quarantines of the suspect so far; a higher one is newer. */
  readonly generation: number;
  /** Whether it was answered; newer than the quarantine. */
  readonly isLifted: boolean;
  /** Time until a trial, in milliseconds; 0 once it is due. */
  readonly remainingMs: number;
}
