import type {TrackedWork} from './tracked_work.js';
import type {WorkItem} from './work_item.js';
import type {WorkTotals} from './work_totals.js';

/**
 * Factor on the expected decoding time of peer work, after which it expires.
 * The notice of its end arrives earlier unless it is lost; decoding takes
 * longer than expected while the engine also processes prompts.
 */
const PEER_DECODE_FACTOR = 3;
const PEER_EXPIRY_MARGIN_MS = 100;

/**
 * Tracks the work on one engine that has not ended and estimates the prefill
 * that is still queued. Engines process prompts in turn.
 */
export class WorkTracker {
  private readonly workById = new Map<string, TrackedWork>();
  private busyUntilMs = 0;
  private readonly sums = {
    streams: 0,
    prefillMs: 0,
    decodeMs: 0,
    lossIfLate: 0,
  };

  /** Adds work of this host, which stays until it is removed. */
  add(id: string, item: WorkItem, nowMs: number): void {
    this.store(id, item, nowMs, Infinity);
  }

  /** Adds work of another host, which expires after its expected end. */
  addPeerWork(id: string, item: WorkItem, nowMs: number): void {
    const durationMs =
      this.backlogMs(nowMs) +
      item.prefillMs +
      item.decodeMs * PEER_DECODE_FACTOR;
    this.store(id, item, nowMs, nowMs + durationMs + PEER_EXPIRY_MARGIN_MS);
  }

  /** Records that the prefill has ended and the response has begun. */
  markPrefilled(id: string, nowMs: number): void {
    const item = this.workById.get(id);
    if (!item || item.prefillDone) return;
    item.prefillDone = true;
    this.releaseUnusedTime(item, nowMs);
  }

  /** Removes work that has ended or will not be done. */
  remove(id: string, nowMs: number): void {
    const item = this.workById.get(id);
    if (!item) return;
    this.forget(id, item);
    if (!item.prefillDone) this.releaseUnusedTime(item, nowMs);
  }

  /** Sums over the work that has not ended. */
  get totals(): WorkTotals {
    return this.sums;
  }

  /** Prefill time that is queued ahead of new work, in milliseconds. */
  backlogMs(nowMs: number): number {
    return Math.max(0, this.busyUntilMs - nowMs);
  }

  /** Returns the work that has not ended and deletes expired work. */
  entries(nowMs: number): TrackedWork[] {
    const active: TrackedWork[] = [];
    for (const [id, item] of this.workById) {
      if (item.expiresMs <= nowMs) this.forget(id, item);
      else active.push(item);
    }
    return active;
  }

  private store(
    id: string,
    item: WorkItem,
    nowMs: number,
    expiresMs: number,
  ): void {
    const known = this.workById.get(id);
    if (known) this.forget(id, known);
    this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + item.prefillMs;
    this.count(item, 1);
    this.workById.set(id, {
      ...item,
      placedMs: nowMs,
      prefillEndMs: this.busyUntilMs,
      prefillDone: false,
      expiresMs,
    });
  }

  private forget(id: string, item: TrackedWork): void {
    this.workById.delete(id);
    this.count(item, -1);
  }

  private count(item: WorkItem, sign: 1 | -1): void {
    const {sums} = this;
    sums.streams += item.decodeMs > 0 ? sign : 0;
    sums.prefillMs += sign * item.prefillMs;
    sums.decodeMs += sign * item.decodeMs;
    sums.lossIfLate += sign * item.lossIfLate;
  }

  /** Shortens the backlog by prefill time that is no longer needed. */
  private releaseUnusedTime(item: TrackedWork, nowMs: number): void {
    const unusedMs = Math.min(item.prefillEndMs - nowMs, item.prefillMs);
    if (unusedMs <= 0) return;
    this.busyUntilMs -= unusedMs;
    for (const other of this.workById.values()) {
      if (other.prefillEndMs > item.prefillEndMs) {
        other.prefillEndMs -= unusedMs;
      }
    }
  }
}
