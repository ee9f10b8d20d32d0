import {PresenceState, type Presence} from '@vanillamux/protocol';
import type {LoadReport} from '../dialect/load_report.js';
import {FailureTracker} from './failure_tracker.js';
import {WorkLedger} from './work_ledger.js';

/** Age at which a stated load says nothing any more. */
const LOAD_TTL_MS = 1_000;

/** One life of a backend server as this entry host sees it. */
export class Backend {
  readonly failures = new FailureTracker();
  readonly work = new WorkLedger();
  /** Requests of this host that have not ended. */
  inFlight = 0;
  private reported?: LoadReport;
  private reportedMs = 0;
  private inFlightAtReport = 0;

  constructor(private report: Presence) {}

  /** The latest report of its life. */
  get presence(): Presence {
    return this.report;
  }

  /** Whether it takes new work, as far as it says. */
  get isReady(): boolean {
    return this.report.state === PresenceState.Ready;
  }

  /** Takes a newer report of the same life. */
  update(report: Presence): void {
    this.report = report;
  }

  /** Notes the load that an answer stated. */
  noteLoad(load: LoadReport, nowMs: number): void {
    this.reported = load;
    this.reportedMs = nowMs;
    this.inFlightAtReport = this.inFlight;
  }

  /** Requests that it has, those of other hosts estimated from its reports. */
  estimateLoad(nowMs: number): number {
    const ageMs = nowMs - this.reportedMs;
    if (!this.reported || ageMs > LOAD_TTL_MS) return this.inFlight;
    const {running, waiting} = this.reported;
    const others = Math.max(0, running + waiting - this.inFlightAtReport);
    return this.inFlight + others * (1 - ageMs / LOAD_TTL_MS);
  }
}
