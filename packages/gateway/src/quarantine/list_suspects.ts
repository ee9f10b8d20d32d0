import type {CrashReport} from './crash_report.js';

/** Lists what may have caused an end: the parts of a prompt, and the request. */
export function listSuspects({request, parts}: CrashReport): string[] {
  return request === undefined ? parts : [...parts, request];
}
