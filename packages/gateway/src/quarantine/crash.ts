import type {CrashReport} from './crash_report.js';

/** End of one incarnation of a backend server. */
export interface Crash {
  /** Backend server and incarnation. */
  readonly id: string;
  readonly atMs: number;
  readonly service: string;
  /** Distinct reports of the attempts that the backend server had begun. */
  readonly attempts: Map<string, CrashReport>;
}
