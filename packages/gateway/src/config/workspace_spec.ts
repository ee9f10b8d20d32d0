/** A customer and the keys of its clients. */
export interface WorkspaceSpec {
  readonly name: string;
  readonly keys: readonly string[];
  /** Urgency of its requests; 0 is the most urgent. */
  readonly priority: number;
}
