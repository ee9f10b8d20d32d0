import {setImmediate} from 'node:timers/promises';
import {Deferred, monotonicMs, sleep} from '@vanillamux/shared';
import type {TurnQueue} from './turn_queue.js';

/**
 * Shortest time between two batches. A small part of the interval of heartbeats,
 * which is the age that a report has anyway.
 */
const COLLECT_MS = 50;
/**
 * Time between two batches, as a multiple of the time that it took to answer all
 * entry hosts: at any number of them, this leaves most turns of the event loop
 * to consensus messages and operators.
 */
const REST_FACTOR = 3;
/** Longest time between two batches, so that no host knows a new server late. */
const MAX_COLLECT_MS = 250;

/**
 * Collects changes into batches. The first change after a rest makes a batch at
 * once; those that follow shortly after it wait for the next one.
 */
export class ChangeCollector {
  private batch = new Deferred<void>();
  private hasChanges = false;
  private isUrgent = false;
  private isCollecting = false;
  /** Service whose changes make batches at once for now. */
  private scarceService?: string;

  /**
   * `turns` are those in which entry hosts are answered, and `onBatch` is called
   * before waiting tasks go on.
   */
  constructor(
    private readonly turns: TurnQueue,
    private readonly onBatch: () => void,
  ) {}

  /** Resolves at the next batch. */
  nextBatch(): Promise<void> {
    return this.batch.promise;
  }

  /** Adds a change to the next batch. */
  add(): void {
    this.hasChanges = true;
    if (!this.isCollecting) void this.collect();
  }

  /**
   * Adds a change of a service with few backend servers. It makes a batch in the
   * next turn, unless those of another service have just done so: a return of
   * many small services must not make a batch for each.
   */
  addScarce(service: string): void {
    this.hasChanges = true;
    if (this.scarceService === undefined) void this.favor(service);
    if (this.scarceService === service) this.addUrgent();
  }

  /** Makes a batch in the next turn, as this change can't wait. */
  addUrgent(): void {
    if (this.isUrgent) return;
    this.isUrgent = true;
    void this.releaseSoon();
  }

  /** Lets the changes of other services with few servers wait for a while. */
  private async favor(service: string): Promise<void> {
    this.scarceService = service;
    await sleep(MAX_COLLECT_MS);
    this.scarceService = undefined;
    if (this.hasChanges) this.add();
  }

  private async collect(): Promise<void> {
    this.isCollecting = true;
    while (this.hasChanges) {
      await this.releaseSoon();
      await this.rest();
    }
    this.isCollecting = false;
  }

  /** Makes a batch of all changes of this turn. */
  private async releaseSoon(): Promise<void> {
    await setImmediate();
    this.hasChanges = false;
    this.isUrgent = false;
    this.onBatch();
    this.batch.resolve();
    this.batch = new Deferred<void>();
  }

  private async rest(): Promise<void> {
    const startedMs = monotonicMs();
    await setImmediate();
    const timer = new AbortController();
    await Promise.race([
      this.turns.idle(),
      sleep(MAX_COLLECT_MS, timer.signal),
    ]);
    timer.abort();
    const restMs = REST_FACTOR * (monotonicMs() - startedMs);
    await sleep(Math.min(Math.max(restMs, COLLECT_MS), MAX_COLLECT_MS));
  }
}
