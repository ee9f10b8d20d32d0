/** A customer and the API keys of its clients. */
export interface WorkspaceSpec {
  readonly name: string;
  readonly keys: readonly string[];
  /** Regions in which its requests may be served; all if absent. */
  readonly regions?: readonly string[];
  /** Priority of the workspace's requests; 0 is the most urgent. */
  readonly priority: number;
}
