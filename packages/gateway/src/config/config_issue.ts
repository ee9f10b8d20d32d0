/** A reason for which a configuration is refused. */
export interface ConfigIssue {
  /** Path of the field, for example `routes.3.targets`. */
  readonly field: string;
  readonly reason: string;
}
