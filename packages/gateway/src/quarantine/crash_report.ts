/** A backend server that ended, and what it was answering when it did. */
export interface CrashReport {
  readonly backend: string;
  readonly incarnation: number;
  /** Service of the backend server; absent in reports of older hosts. */
  readonly service?: string;
  /** The request, as a suspect; absent in reports of older hosts. */
  readonly request?: string;
  /** Shared parts of its prompt, in order. */
  readonly parts: string[];
}
