/** A backend server that ended, and the prompt parts under which it may have. */
export interface CrashReport {
  readonly backend: string;
  readonly incarnation: number;
  /** Shared parts of a prompt that it had begun to answer, in order. */
  readonly parts: string[];
}
