/** Writes short sentences under the fixed prefix of one part. */
export interface Logger {
  debug(message: string, fields?: object): void;
  info(message: string, fields?: object): void;
  warn(message: string, fields?: object): void;
  error(message: string, fields?: object): void;
}
