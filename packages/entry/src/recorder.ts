import type {ControlClient} from '@vanillamux/control';
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

const BATCH_DELAY_MS = 20;
const RETRY_DELAY_MS = 200;
const IDLE_CHECK_MS = 1_000;
const MAX_BATCH_ENTRIES = 1_024;
const MAX_BUFFERED_ENTRIES = 100_000;
const CALL_TIMEOUT_MS = 2_000;
/** Control hosts that must have an entry, so that one lost disk loses none. */
const WANTED_COPIES = 2;

const log = getLogger('record');

/** Options of a `Recorder`. */
export interface RecorderOptions {
  readonly entryId: string;
  readonly failureDomain: string;
  readonly clock: HybridClock;
  readonly control: ControlClient;
}

/** An entry with the control hosts that have synced it. */
interface BufferedEntry {
  readonly entry: RecordEntry;
  readonly copies: Set<number>;
}

/** Delivery to one control host. */
interface Delivery {
  readonly wakeup: Wakeup;
  isFailing: boolean;
}

/**
 * Chains the record of this host and delivers it to the two nearest control
 * hosts that can be reached, which sync it. Entries wait here until then.
 */
export class Recorder {
  private readonly chain: string;
  private sequence = 0;
  private previousHash = EMPTY_CHAIN_HASH;
  private buffer: BufferedEntry[] = [];
  private readonly deliveries: Delivery[];

  constructor(private readonly options: RecorderOptions) {
    this.chain = `${options.entryId}/${Date.now()}`;
    this.deliveries = Array.from({length: options.control.hostCount}, () => ({
      wakeup: new Wakeup(),
      isFailing: false,
    }));
    this.add({kind: RecordKind.Opened});
  }

  /**
   * Whether another request can still be recorded. When not, new requests are
   * refused rather than run without a record.
   */
  get hasRoom(): boolean {
    if (this.buffer.length < MAX_BUFFERED_ENTRIES) return true;
    this.buffer = this.buffer.filter(({copies}) => copies.size === 0);
    return this.buffer.length < MAX_BUFFERED_ENTRIES;
  }

  /** Entries that no control host has confirmed yet. */
  get undelivered(): RecordEntry[] {
    return this.buffer
      .filter(({copies}) => copies.size === 0)
      .map(({entry}) => entry);
  }

  /** Appends an entry to the chain. */
  add(content: RecordContent): void {
    const {clock, failureDomain} = this.options;
    const entry = {
      ...content,
      chain: this.chain,
      sequence: this.sequence++,
      at: clock.now(),
      previousHash: this.previousHash,
      failureDomain,
    };
    const hash = hashRecordEntry(entry);
    this.previousHash = hash;
    this.buffer.push({entry: {...entry, hash}, copies: new Set()});
    for (const {wakeup} of this.deliveries) wakeup.notify();
  }

  /** Starts one task per control host; they end when `signal` aborts. */
  run(signal: AbortSignal): void {
    this.deliveries.forEach((_, place) => void this.runHost(place, signal));
  }

  /** Closes the chain and waits until it is delivered, at most `limitMs`. */
  async close(limitMs: number): Promise<void> {
    this.add({kind: RecordKind.Closed});
    const endMs = monotonicMs() + limitMs;
    while (this.undelivered.length > 0 && monotonicMs() < endMs) {
      await sleep(BATCH_DELAY_MS);
    }
    const entries = this.undelivered.length;
    if (entries > 0) {
      log.error('Entries of the record were not delivered.', {entries});
    }
  }

  private async runHost(place: number, signal: AbortSignal): Promise<void> {
    const delivery = this.deliveries[place]!;
    while (!signal.aborted) {
      const batch = this.nextBatch(place);
      if (batch.length === 0) {
        await delivery.wakeup.wait(IDLE_CHECK_MS, signal);
        await sleep(BATCH_DELAY_MS, signal);
        continue;
      }
      delivery.isFailing = !(await this.deliver(place, batch));
      if (!delivery.isFailing) continue;
      for (const {wakeup} of this.deliveries) wakeup.notify();
      await sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Entries that this host should get: those that want another copy. */
  private nextBatch(place: number): BufferedEntry[] {
    const nearer = this.deliveries.slice(0, place);
    const working = nearer.filter(({isFailing}) => !isFailing).length;
    if (working >= WANTED_COPIES) return [];
    return this.buffer
      .filter(({copies}) => !copies.has(place))
      .slice(0, MAX_BATCH_ENTRIES);
  }

  /** Sends one batch. Sending it again changes nothing. */
  private async deliver(
    place: number,
    batch: readonly BufferedEntry[],
  ): Promise<boolean> {
    const entries = batch.map(({entry}) => entry);
    const result = await this.options.control.callAt(
      place,
      (api, signal) => api.record.append.mutate(entries, {signal}),
      CALL_TIMEOUT_MS,
    );
    if (!result.ok) {
      log.debug('A control host took no record.', {
        reason: result.error.message,
      });
      return false;
    }
    for (const {copies} of batch) copies.add(place);
    const wanted = Math.min(WANTED_COPIES, this.deliveries.length);
    this.buffer = this.buffer.filter(({copies}) => copies.size < wanted);
    return true;
  }
}
