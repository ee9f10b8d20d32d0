import log from 'loglevel';
import type {Logger} from './logger.js';

/** Returns the logger of a component, for example `routing`. */
export function getLogger(part: string): Logger {
  return log.getLogger(part) as unknown as Logger;
}
