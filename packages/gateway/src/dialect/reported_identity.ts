/** What a process says of itself. */
export interface ReportedIdentity {
  /** Whether it is another backend server than the one that was asked for. */
  readonly isOther: boolean;
  /** Its incarnation; `undefined` if it names none. */
  readonly incarnation?: number;
  /** When it started, in Unix milliseconds by its own clock. */
  readonly startedAtMs?: number;
}
