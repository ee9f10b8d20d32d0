import {PresenceState, type Presence} from '@vanillamux/protocol';
import type {LoadReport} from '../dialect/load_report.js';
import {FailureTracker} from './failure_tracker.js';
import {WorkTracker} from './work_tracker.js';

/** Age at which a stated load says nothing any more. */
const LOAD_TTL_MS = 1_000;

/** One life of a backend server as this entry host sees it. */
export class Backend {
  readonly failures = new FailureTracker();
  readonly work = new WorkTracker();
  /** Requests of this host that have not ended. */
  inFlight = 0;
  private loadReport?: LoadReport;
  private loadReportedMs = 0;
  private inFlightAtReport = 0;

  constructor(private latestReport: Presence) {}

  /** The latest report of its life. */
  get presence(): Presence {
    return this.latestReport;
  }

  /** Whether it takes new work, as far as it says. */
  get isReady(): boolean {
    return this.latestReport.state === PresenceState.Ready;
  }

  /** Takes a newer report of the same life. */
  update(report: Presence): void {
    this.latestReport = report;
  }

  /** Notes the load that an answer stated. */
  recordLoad(load: LoadReport, nowMs: number): void {
    this.loadReport = load;
    this.loadReportedMs = nowMs;
    this.inFlightAtReport = this.inFlight;
  }

  /** Requests that it has, those of other hosts estimated from its reports. */
  estimateLoad(nowMs: number): number {
    const ageMs = nowMs - this.loadReportedMs;
    if (!this.loadReport || ageMs > LOAD_TTL_MS) return this.inFlight;
    const {running, waiting} = this.loadReport;
    const peerLoad = Math.max(0, running + waiting - this.inFlightAtReport);
    return this.inFlight + peerLoad * (1 - ageMs / LOAD_TTL_MS);
  }
}
