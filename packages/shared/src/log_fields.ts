/** Extra fields of a log line. The fields of every line are excluded. */
export interface LogFields {
  readonly [name: string]: unknown;
  readonly time?: never;
  readonly level?: never;
  readonly host?: never;
  readonly part?: never;
  readonly message?: never;
}
