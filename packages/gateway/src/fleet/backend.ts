import {PresenceState, type Presence} from '@vanillamux/protocol';
import {ColdPace} from '../cold_backends/cold_pace.js';
import type {ColdSlowdown} from '../cold_backends/cold_slowdown.js';
import {ColdStretch} from '../cold_backends/cold_stretch.js';
import {FailureEvidence} from '../failing_backends/failure_evidence.js';
import type {LoadReport} from '../dialect/load_report.js';
import {EnginePace} from './engine_pace.js';
import {FailureTracker} from './failure_tracker.js';
import {RequestPause} from './request_pause.js';
import {WorkTracker} from './work_tracker.js';

/** Age at which a load report has lost all its weight. */
const LOAD_TTL_MS = 1_000;

/** One incarnation of a backend server, as this entry host knows it. */
export class Backend {
  readonly failures = new FailureTracker();
  readonly evidence = new FailureEvidence();
  readonly work = new WorkTracker();
  readonly pause = new RequestPause();
  readonly pace = new EnginePace();
  readonly cold = new ColdStretch();
  /** Requests of this host that have not ended. */
  inFlight = 0;
  private loadReport?: LoadReport;
  private loadReportedMs = 0;
  private inFlightAtReport = 0;

  constructor(
    private latestReport: Presence,
    /** Learnt by all backend servers of the service together. */
    readonly coldPace = new ColdPace(),
  ) {}

  /** Latest report of this incarnation. */
  get presence(): Presence {
    return this.latestReport;
  }

  /** Whether the latest report says that it accepts new work. */
  get isReady(): boolean {
    return this.latestReport.state === PresenceState.Ready;
  }

  /** Replaces the report by a newer one of the same incarnation. */
  update(report: Presence): void {
    this.latestReport = report;
  }

  /** How much slower it is while it is cold, beyond what `pace` knows. */
  coldSlowdown(nowMs: number): ColdSlowdown {
    const leftMs = this.cold.leftMs(nowMs);
    if (leftMs === 0) return {factor: 1, leftMs};
    const factor = this.coldPace.factor / this.pace.factor(nowMs);
    return {factor: Math.max(1, factor), leftMs};
  }

  /** Records the load that a response reported. */
  recordLoad(load: LoadReport, nowMs: number): void {
    this.loadReport = load;
    this.loadReportedMs = nowMs;
    this.inFlightAtReport = this.inFlight;
  }

  /**
   * Estimates the requests on the backend server: those of this host, and those
   * of other hosts from the last load report, with less weight as it ages.
   */
  estimateLoad(nowMs: number): number {
    const ageMs = nowMs - this.loadReportedMs;
    if (!this.loadReport || ageMs > LOAD_TTL_MS) return this.inFlight;
    const {running, waiting} = this.loadReport;
    const peerLoad = Math.max(0, running + waiting - this.inFlightAtReport);
    return this.inFlight + peerLoad * (1 - ageMs / LOAD_TTL_MS);
  }
}
