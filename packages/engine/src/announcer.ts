import {
  BackendState,
  type Announcement,
  type LoadReport,
} from '@vanillamux/protocol';
import {
  getLogger,
  monotonicMs,
  sleep,
  Wakeup,
  type Address,
} from '@vanillamux/shared';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Agent, request} from 'undici';
import type {EngineSettings} from './engine_settings.js';
import {FaultKind} from './fault_kind.js';
import type {FaultInjector} from './fault_injector.js';

const ANNOUNCE_TIMEOUT_MS = 800;

type CacheEvents = Announcement['cache'];

/** A report that is held back to model the lag. */
interface DelayedReport<T> {
  readonly dueMs: number;
  readonly report: T;
}

/** What the announcer reads of the backend server. */
export interface AnnouncerOptions {
  readonly settings: EngineSettings;
  readonly address: Address;
  readonly faults: FaultInjector;
  readonly readLoad: () => LoadReport;
  readonly readModels: () => string[];
  readonly drainCacheEvents: () => CacheEvents;
}

const log = getLogger('announce');

/** Announces a backend server to one entry host, another when that fails. */
export class Announcer {
  private readonly incarnation = Date.now();
  private readonly random;
  private readonly agent = new Agent({connections: 1});
  private readonly wakeup = new Wakeup();
  private state = BackendState.Ready;
  private sequence = 0;
  private entryIndex = 0;
  private delayedLoads: Array<DelayedReport<LoadReport>> = [];
  private delayedCacheEvents: Array<DelayedReport<CacheEvents>> = [];
  private reportedLoad: LoadReport;

  constructor(private readonly options: AnnouncerOptions) {
    this.random = xoroshiro128plus(options.settings.seed);
    this.reportedLoad = options.readLoad();
  }

  /** Announces until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {faults, settings} = this.options;
    while (!signal.aborted) {
      if (!faults.isActive(FaultKind.StopAnnouncements)) await this.announce();
      await this.wakeup.wait(settings.report.announceIntervalMs, signal);
    }
    await this.agent.close();
  }

  /** Announces at once that no new work is taken. */
  announceLeaving(): void {
    this.state = BackendState.Leaving;
    this.wakeup.notify();
  }

  private async announce(): Promise<void> {
    const {entries} = this.options.settings;
    const body = JSON.stringify(this.createAnnouncement());
    for (let attempt = 0; attempt < entries.length; attempt++) {
      const entry = entries[this.entryIndex % entries.length]!;
      if (await this.postAnnouncement(entry, body)) return;
      this.entryIndex++;
    }
    log.warn('No entry host took the announcement.');
    await sleep(1);
  }

  private async postAnnouncement(
    entry: Address,
    body: string,
  ): Promise<boolean> {
    try {
      const {statusCode, body: responseBody} = await request(
        `http://${entry.host}:${entry.port}/v1/announce`,
        {
          method: 'POST',
          body,
          headers: {'content-type': 'application/json'},
          dispatcher: this.agent,
          signal: AbortSignal.timeout(ANNOUNCE_TIMEOUT_MS),
        },
      );
      await responseBody.dump();
      if (statusCode >= 400) {
        log.warn('An entry host refused the announcement.', {statusCode});
      }
      return statusCode < 400;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.debug('An announcement failed.', {reason});
      return false;
    }
  }

  private createAnnouncement(): Announcement {
    const {settings, address} = this.options;
    const {cost, report} = settings;
    return {
      id: settings.id,
      incarnation: this.incarnation,
      sequence: this.sequence++,
      kind: settings.kind,
      service: settings.service,
      address,
      failureDomain: settings.failureDomain,
      models: this.options.readModels(),
      memoryTokens: cost.memoryTokens,
      prefillTokensPerSecond: cost.prefillTokensPerSecond,
      decodeStepMs: cost.decodeStepMs,
      chunkTokens: cost.chunkTokens,
      state: this.state,
      leaseMs: report.leaseMs,
      load: this.readDelayedLoad(),
      cache: this.readDelayedCacheEvents(),
    };
  }

  private readDelayedLoad(): LoadReport {
    const nowMs = monotonicMs();
    const {loadLagMs} = this.options.settings.report;
    this.delayedLoads.push({
      dueMs: nowMs + loadLagMs,
      report: this.options.readLoad(),
    });
    while (this.delayedLoads[0] && this.delayedLoads[0].dueMs <= nowMs) {
      this.reportedLoad = this.delayedLoads.shift()!.report;
    }
    return this.reportedLoad;
  }

  private readDelayedCacheEvents(): CacheEvents {
    const nowMs = monotonicMs();
    const {cacheLagMs, cacheLoss} = this.options.settings.report;
    const report = this.options.drainCacheEvents();
    this.delayedCacheEvents.push({dueMs: nowMs + cacheLagMs, report: report});
    const due = this.delayedCacheEvents.filter(({dueMs}) => dueMs <= nowMs);
    this.delayedCacheEvents = this.delayedCacheEvents.filter(
      ({dueMs}) => dueMs > nowMs,
    );
    const isDelivered = () => uniformFloat64(this.random) >= cacheLoss;
    return {
      stored: due.flatMap(({report: {stored}}) => stored).filter(isDelivered),
      evicted: due
        .flatMap(({report: {evicted}}) => evicted)
        .filter(isDelivered),
    };
  }
}
