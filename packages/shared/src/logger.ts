import type {LogFields} from './log_fields.js';

/** Writes short sentences under the fixed prefix of one part. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
