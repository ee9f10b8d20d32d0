/** What a process says of itself. */
export interface ReportedIdentity {
  /** Whether it is another backend server than the one that was asked for. */
  readonly isOther: boolean;
  /** Its incarnation; `undefined` if it names none. */
  readonly incarnation?: number;
}
