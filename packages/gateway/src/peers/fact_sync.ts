import {
  Deferred,
  getLogger,
  monotonicMs,
  sleep,
  type Address,
} from '@vanillamux/shared';
import type {FactSource} from './fact_source.js';
import type {PeerFacts} from './peer_facts.js';
import type {PeerNotices} from './peer_notices.js';
import {SyncKind} from './sync_kind.js';

/** Interval at which known facts are sent to some peers again. */
const SYNC_INTERVAL_MS = 1_000;
/** Pause of the process after which it has missed notices. */
const MAX_PAUSE_MS = 1_000;
/** Peers that receive facts again, or are asked for theirs. */
const SYNC_RECEIVERS = 3;
/** Notices in reply to one request. */
const REPLY_NOTICES = 4;
/** Time for a reply; some round trips between failure domains. */
const REPLY_TIMEOUT_MS = 300;
/** Longest wait of a request, also while no control host has named the peers. */
const MAX_REQUEST_WAIT_MS = 1_000;

const log = getLogger('peers');

/** Options of a `FactSync`. */
export interface FactSyncOptions {
  readonly notices: PeerNotices;
  readonly sources: readonly FactSource[];
}

/**
 * Brings the facts of all entry hosts together although notices are lost: each
 * host sends what it knows to some peers again, all of them in turn, and asks
 * some for what they know when it has started or was suspended.
 */
export class FactSync {
  /** Time in which a host sends its facts to each of its peers once. */
  static cycleMs(peerCount: number): number {
    return Math.ceil(peerCount / SYNC_RECEIVERS) * SYNC_INTERVAL_MS;
  }

  private synced = new Deferred<void>();
  private hasSynced = false;
  private hasPeers = false;
  private requestedMs = 0;
  private lastTickAt = Date.now();
  private interval?: NodeJS.Timeout;
  private timeout?: NodeJS.Timeout;

  constructor(private readonly options: FactSyncOptions) {
    void options.notices
      .syncNotices()
      .observe(({replyTo, kind}) => this.receive(replyTo, kind));
  }

  /** Starts to exchange facts. */
  start(): void {
    this.lastTickAt = Date.now();
    this.interval = setInterval(() => this.tick(), SYNC_INTERVAL_MS);
  }

  /** Stops the timers; requests wait no longer. */
  stop(): void {
    clearInterval(this.interval);
    this.finish('stopped');
  }

  /** Whether the host has had the chance to learn what its peers know. */
  get isSynced(): boolean {
    return this.hasSynced;
  }

  /** Waits until `isSynced`, at most `MAX_REQUEST_WAIT_MS`. */
  async waitUntilSynced(): Promise<void> {
    const timer = new AbortController();
    await Promise.race([
      this.synced.promise,
      sleep(MAX_REQUEST_WAIT_MS, timer.signal),
    ]);
    timer.abort();
  }

  /** Handles a list of the entry hosts, with the number of peers. */
  onPeers(count: number): void {
    if (this.hasPeers) return;
    if (count === 0) return this.finish('no peers');
    this.hasPeers = true;
    this.request();
  }

  private tick(): void {
    // The monotonic clock does not count the time of a suspended machine.
    const nowAt = Date.now();
    const pauseMs = nowAt - this.lastTickAt - SYNC_INTERVAL_MS;
    this.lastTickAt = nowAt;
    if (this.hasPeers && pauseMs > MAX_PAUSE_MS) this.request();
    const facts = this.takeFacts();
    if (facts) this.options.notices.sendFacts(facts, SYNC_RECEIVERS);
  }

  /** Asks peers for what they know; requests wait for the first reply. */
  private request(): void {
    if (this.hasSynced) this.synced = new Deferred<void>();
    this.hasSynced = false;
    this.requestedMs = monotonicMs();
    this.options.notices.sendFacts({sync: SyncKind.Request}, SYNC_RECEIVERS);
    this.finishAfter(REPLY_TIMEOUT_MS);
  }

  private receive(replyTo: Address, kind: SyncKind): void {
    if (kind === SyncKind.Reply) return this.finish('reply');
    for (let index = 0; index < REPLY_NOTICES; index++) {
      this.options.notices.replyTo(replyTo, {
        ...this.takeFacts(),
        sync: SyncKind.Reply,
      });
    }
  }

  private takeFacts(): PeerFacts | undefined {
    const portions = this.options.sources
      .map(source => source.takeFacts())
      .filter(facts => facts !== undefined);
    return portions.length === 0 ? undefined : Object.assign({}, ...portions);
  }

  private finishAfter(timeoutMs: number): void {
    clearTimeout(this.timeout);
    this.timeout = setTimeout(() => this.finish('timeout'), timeoutMs);
  }

  private finish(reason: string): void {
    clearTimeout(this.timeout);
    if (this.hasSynced) return;
    this.hasSynced = true;
    this.synced.resolve();
    log.info('Learned what the other entry hosts know.', {
      reason,
      waitedMs: this.hasPeers
        ? Math.round(monotonicMs() - this.requestedMs)
        : undefined,
    });
  }
}
