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
const MAX_BATCH_ENTRIES = 1_024;
const MAX_BUFFERED_ENTRIES = 100_000;
const CALL_TIMEOUT_MS = 2_000;

const log = getLogger('record');

/** Options of a `Recorder`. */
export interface RecorderOptions {
  readonly entryId: string;
  readonly failureDomain: string;
  readonly clock: HybridClock;
  readonly control: ControlClient;
}

/**
 * Chains the record of this host and delivers it to a control host, which
 * syncs it. Entries wait here while no control host can be reached.
 */
export class Recorder {
  private readonly chain: string;
  private sequence = 0;
  private previousHash = EMPTY_CHAIN_HASH;
  private buffer: RecordEntry[] = [];
  private readonly wakeup = new Wakeup();

  constructor(private readonly options: RecorderOptions) {
    this.chain = `${options.entryId}/${Date.now()}`;
    this.add({kind: RecordKind.Opened});
  }

  /**
   * Whether another request can still be recorded. When not, new requests are
   * refused rather than run without a record.
   */
  get hasRoom(): boolean {
    return this.buffer.length < MAX_BUFFERED_ENTRIES;
  }

  /** Entries that no control host has confirmed yet. */
  get undelivered(): readonly RecordEntry[] {
    return this.buffer;
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
    this.buffer.push({...entry, hash});
    this.wakeup.notify();
  }

  /** Delivers batches until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.buffer.length === 0) {
        await this.wakeup.wait(RETRY_DELAY_MS, signal);
        await sleep(BATCH_DELAY_MS, signal);
        continue;
      }
      if (!(await this.deliver())) await sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Closes the chain and delivers what is left within `limitMs`. */
  async close(limitMs: number): Promise<void> {
    this.add({kind: RecordKind.Closed});
    const endMs = monotonicMs() + limitMs;
    while (this.buffer.length > 0 && monotonicMs() < endMs) {
      if (!(await this.deliver())) await sleep(RETRY_DELAY_MS);
    }
    if (this.buffer.length > 0) {
      log.error('Entries of the record were not delivered.', {
        entries: this.buffer.length,
      });
    }
  }

  /** Sends one batch. Sending it again changes nothing. */
  private async deliver(): Promise<boolean> {
    const batch = this.buffer.slice(0, MAX_BATCH_ENTRIES);
    const result = await this.options.control.callAny(
      (api, signal) => api.record.append.mutate(batch, {signal}),
      CALL_TIMEOUT_MS,
    );
    if (!result.ok) {
      log.debug('No control host took the record.', {
        reason: result.error.message,
      });
      return false;
    }
    const last = batch.at(-1)!.sequence;
    this.buffer = this.buffer.filter(({sequence}) => sequence > last);
    return true;
  }
}
