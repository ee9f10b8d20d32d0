/** Fields of a log line; those that every line has may not be given again. */
export interface LogFields {
  readonly [name: string]: unknown;
  readonly time?: never;
  readonly level?: never;
  readonly host?: never;
  readonly part?: never;
  readonly message?: never;
}
