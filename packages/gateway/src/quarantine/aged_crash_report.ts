import type {CrashReport} from './crash_report.js';

/** Report of an end, and the milliseconds since then. */
export type AgedCrashReport = CrashReport & {readonly ageMs: number};
