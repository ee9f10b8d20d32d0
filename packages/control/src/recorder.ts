import {
  EMPTY_CHAIN_HASH,
  hashRecordEntry,
  RecordKind,
  type RecordContent,
  type RecordEntry,
} from '@vanillamux/protocol';
import {
  getLogger,
  monotonicMs,
  sleep,
  Wakeup,
  type HybridClock,
} from '@vanillamux/shared';
import type {RecordSink} from './record_sink.js';

const DEFAULT_BATCH_DELAY_MS = 20;
const CLOSE_POLL_MS = 20;
const RETRY_DELAY_MS = 200;
const IDLE_POLL_MS = 1_000;
const MAX_BATCH_ENTRIES = 1_024;
const DEFAULT_MAX_ENTRIES = 100_000;
const APPEND_TIMEOUT_MS = 2_000;
/** Control hosts that must sync an entry, so that one lost disk loses none. */
const REPLICA_COUNT = 2;

const log = getLogger('record');

/** Options of a `Recorder`. */
export interface RecorderOptions {
  readonly entryHostId: string;
  readonly failureDomain: string;
  readonly clock: HybridClock;
  readonly sink: RecordSink;
  /** Time for which entries are collected before a batch is sent. */
  readonly batchDelayMs?: number;
  /** Entries that may be buffered while no control host accepts them. */
  readonly maxEntries?: number;
}

/** A buffered entry with the control hosts that have synced it. */
interface BufferedEntry {
  readonly entry: RecordEntry;
  readonly syncedHosts: Set<string>;
}

/** State of the delivery to one control host. */
interface HostDelivery {
  readonly wakeup: Wakeup;
  isFailing: boolean;
}

/**
 * Writes the record of this entry host as a hash chain and delivers it to the
 * two nearest reachable control hosts, which sync it to disk. Entries are
 * buffered until then.
 */
export class Recorder {
  private readonly chainId: string;
  private sequence = 0;
  private previousHash = EMPTY_CHAIN_HASH;
  private buffer: BufferedEntry[] = [];
  private readonly deliveries = new Map<string, HostDelivery>();
  private readonly batchDelayMs: number;
  private readonly maxEntries: number;
  /** Aborts when entries are no longer collected for a batch. */
  private readonly collecting = new AbortController();

  constructor(private readonly options: RecorderOptions) {
    this.chainId = `${options.entryHostId}/${Date.now()}`;
    this.batchDelayMs = options.batchDelayMs ?? DEFAULT_BATCH_DELAY_MS;
    this.maxEntries = options.maxEntries ?? DEFAULT_MAX_ENTRIES;
    this.add({kind: RecordKind.Opened});
  }

  /**
   * Whether another request can be recorded. If not, new requests are refused
   * rather than run without a record. A full buffer first drops the entries
   * that at least one control host has synced.
   */
  get hasCapacity(): boolean {
    if (this.buffer.length < this.maxEntries) return true;
    this.buffer = this.buffer.filter(({syncedHosts}) => syncedHosts.size === 0);
    return this.buffer.length < this.maxEntries;
  }

  /** Entries that no control host has confirmed yet. */
  get undelivered(): RecordEntry[] {
    return this.buffer
      .filter(({syncedHosts}) => syncedHosts.size === 0)
      .map(({entry}) => entry);
  }

  /** Appends an entry to the chain. */
  add(content: RecordContent): void {
    const {clock, failureDomain} = this.options;
    const entry = {
      ...content,
      chain: this.chainId,
      sequence: this.sequence++,
      at: clock.now(),
      previousHash: this.previousHash,
      failureDomain,
    };
    const hash = hashRecordEntry(entry);
    this.previousHash = hash;
    this.buffer.push({entry: {...entry, hash}, syncedHosts: new Set()});
    this.wakeDeliveries();
  }

  /** Runs one delivery task for each known control host. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.collecting.abort());
    while (!signal.aborted) {
      for (const host of this.options.sink.hosts()) {
        if (!this.deliveries.has(host)) void this.deliverToHost(host, signal);
      }
      await sleep(IDLE_POLL_MS, signal);
    }
  }

  /** Closes the chain and waits for its delivery, at most `timeoutMs`. */
  async close(timeoutMs: number): Promise<void> {
    this.collecting.abort();
    this.add({kind: RecordKind.Closed});
    const deadlineMs = monotonicMs() + timeoutMs;
    while (this.undelivered.length > 0 && monotonicMs() < deadlineMs) {
      await sleep(CLOSE_POLL_MS);
    }
    const entries = this.undelivered.length;
    if (entries > 0) {
      log.error('Record entries were not delivered before shutdown.', {
        entries,
      });
    }
  }

  private wakeDeliveries(): void {
    for (const {wakeup} of this.deliveries.values()) wakeup.notify();
  }

  /** Delivers to one host until it is no longer among the known hosts. */
  private async deliverToHost(
    host: string,
    signal: AbortSignal,
  ): Promise<void> {
    const delivery = {wakeup: new Wakeup(), isFailing: false};
    this.deliveries.set(host, delivery);
    while (!signal.aborted && this.options.sink.hosts().includes(host)) {
      const batch = this.nextBatch(host);
      if (batch.length === 0) {
        await delivery.wakeup.wait(IDLE_POLL_MS, signal);
        await sleep(this.batchDelayMs, this.collecting.signal);
        continue;
      }
      delivery.isFailing = !(await this.sendBatch(host, batch));
      if (!delivery.isFailing) continue;
      this.wakeDeliveries();
      await sleep(RETRY_DELAY_MS, signal);
    }
    this.deliveries.delete(host);
  }

  /** Entries that the host lacks; none if enough nearer hosts are healthy. */
  private nextBatch(host: string): BufferedEntry[] {
    const hosts = this.options.sink.hosts();
    const nearerHosts = hosts.slice(0, hosts.indexOf(host));
    const healthyCount = nearerHosts.filter(
      nearerHost => this.deliveries.get(nearerHost)?.isFailing === false,
    ).length;
    if (healthyCount >= REPLICA_COUNT) return [];
    return this.buffer
      .filter(({syncedHosts}) => !syncedHosts.has(host))
      .slice(0, MAX_BATCH_ENTRIES);
  }

  /** Sends one batch to a host. Retries are safe: the host skips duplicates. */
  private async sendBatch(
    host: string,
    batch: readonly BufferedEntry[],
  ): Promise<boolean> {
    const entries = batch.map(({entry}) => entry);
    const {sink} = this.options;
    const result = await sink.append(host, entries, APPEND_TIMEOUT_MS);
    if (!result.ok) {
      log.debug('Could not deliver record entries to a control host.', {
        reason: result.error.message,
      });
      return false;
    }
    for (const {syncedHosts} of batch) syncedHosts.add(host);
    const replicaCount = Math.min(REPLICA_COUNT, sink.hosts().length);
    this.buffer = this.buffer.filter(
      ({syncedHosts}) => syncedHosts.size < replicaCount,
    );
    return true;
  }
}
