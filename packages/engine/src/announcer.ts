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
import type {FaultSwitch} from './fault_switch.js';

const CALL_TIMEOUT_MS = 800;

type CacheEvents = Announcement['cache'];

/** A report that is held back to model the lag. */
interface Delayed<T> {
  readonly dueMs: number;
  readonly item: T;
}

/** What the announcer reads of the backend server. */
export interface AnnouncerOptions {
  readonly settings: EngineSettings;
  readonly address: Address;
  readonly faults: FaultSwitch;
  readonly readLoad: () => LoadReport;
  readonly readModels: () => string[];
  readonly takeCacheEvents: () => CacheEvents;
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
  private loads: Array<Delayed<LoadReport>> = [];
  private cacheEvents: Array<Delayed<CacheEvents>> = [];
  private load: LoadReport;

  constructor(private readonly options: AnnouncerOptions) {
    this.random = xoroshiro128plus(options.settings.seed);
    this.load = options.readLoad();
  }

  /** Announces until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {faults, settings} = this.options;
    while (!signal.aborted) {
      if (!faults.isActive(FaultKind.Mute)) await this.announce();
      await this.wakeup.wait(settings.report.announceIntervalMs, signal);
    }
    await this.agent.close();
  }

  /** Announces at once that no new work is taken. */
  leave(): void {
    this.state = BackendState.Leaving;
    this.wakeup.notify();
  }

  private async announce(): Promise<void> {
    const {entries} = this.options.settings;
    const body = JSON.stringify(this.compose());
    for (let tries = 0; tries < entries.length; tries++) {
      const entry = entries[this.entryIndex % entries.length]!;
      if (await this.post(entry, body)) return;
      this.entryIndex++;
    }
    log.warn('No entry host took the announcement.');
    await sleep(1);
  }

  private async post(entry: Address, body: string): Promise<boolean> {
    try {
      const {statusCode, body: answer} = await request(
        `http://${entry.host}:${entry.port}/v1/announce`,
        {
          method: 'POST',
          body,
          headers: {'content-type': 'application/json'},
          dispatcher: this.agent,
          signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        },
      );
      await answer.dump();
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

  private compose(): Announcement {
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
      load: this.readLaggingLoad(),
      cache: this.readLaggingCacheEvents(),
    };
  }

  private readLaggingLoad(): LoadReport {
    const nowMs = monotonicMs();
    const {loadLagMs} = this.options.settings.report;
    this.loads.push({dueMs: nowMs + loadLagMs, item: this.options.readLoad()});
    while (this.loads[0] && this.loads[0].dueMs <= nowMs) {
      this.load = this.loads.shift()!.item;
    }
    return this.load;
  }

  private readLaggingCacheEvents(): CacheEvents {
    const nowMs = monotonicMs();
    const {cacheLagMs, cacheLoss} = this.options.settings.report;
    const item = this.options.takeCacheEvents();
    this.cacheEvents.push({dueMs: nowMs + cacheLagMs, item});
    const due = this.cacheEvents.filter(({dueMs}) => dueMs <= nowMs);
    this.cacheEvents = this.cacheEvents.filter(({dueMs}) => dueMs > nowMs);
    const keep = () => uniformFloat64(this.random) >= cacheLoss;
    return {
      stored: due.flatMap(({item: {stored}}) => stored).filter(keep),
      evicted: due.flatMap(({item: {evicted}}) => evicted).filter(keep),
    };
  }
}
