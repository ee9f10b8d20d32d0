import process from 'node:process';
import {Deferred} from './deferred.js';
import {getLogger} from './get_logger.js';
import {ProcessPhase} from './process_phase.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

const log = getLogger('start');

/**
 * Handles SIGTERM, SIGINT and SIGHUP for the life of a process. Each of them ends
 * a process that has no handler of it, with the requests in progress.
 */
export class ProcessSignals {
  private phase = ProcessPhase.Starting;
  private wantsReload = false;
  private reload: () => void = () => {
    this.wantsReload = true;
  };
  private readonly firstStopSignal = new Deferred<NodeJS.Signals>();
  private stopSignal?: NodeJS.Signals;

  constructor() {
    for (const signal of STOP_SIGNALS)
      process.on(signal, () => this.handleStop(signal));
    process.on('SIGHUP', () => this.handleReload());
  }

  /** Whether the process is to stop. */
  get isStopRequested(): boolean {
    return this.stopSignal !== undefined;
  }

  /** Calls `reload` on each SIGHUP, and at once if one came during the start. */
  markStarted(reload: () => void): void {
    this.phase = ProcessPhase.Running;
    this.reload = reload;
    if (this.wantsReload) reload();
  }

  /**
   * Resolves with the first SIGTERM or SIGINT. From then on signals are logged
   * and have no other effect.
   */
  async waitForStop(): Promise<NodeJS.Signals> {
    const signal = await this.firstStopSignal.promise;
    this.phase = ProcessPhase.Stopping;
    return signal;
  }

  private handleStop(signal: NodeJS.Signals): void {
    this.report(signal, !this.isStopRequested);
    this.stopSignal ??= signal;
    this.firstStopSignal.resolve(signal);
  }

  private handleReload(): void {
    this.report('SIGHUP', !this.isStopRequested);
    if (!this.isStopRequested) this.reload();
  }

  private report(signal: NodeJS.Signals, hasEffect: boolean): void {
    const fields = {signal, phase: this.phase};
    if (hasEffect) log.info('Received a signal.', fields);
    else log.warn('Ignored a signal, as the process is to stop.', fields);
  }
}
