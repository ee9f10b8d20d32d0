import type {TrackedWork} from './tracked_work.js';
import type {WorkItem} from './work_item.js';

/**
 * Factor on the expected time of decoding by other hosts' work, after which it
 * is forgotten. Their notice of its end comes earlier, unless it is lost;
 * decoding lasts longer than expected where prompts are processed beside it.
 */
const PEER_DECODE_FACTOR = 3;
const PEER_EXPIRY_MARGIN_MS = 100;

/**
 * Work placed on one engine that has not ended, with an estimate of the prompt
 * processing that is still ahead. Engines process prompts in turn.
 */
export class WorkTracker {
  private readonly workById = new Map<string, TrackedWork>();
  private busyUntilMs = 0;

  /** Notes work of this host; its end will be noted too. */
  add(id: string, item: WorkItem, nowMs: number): void {
    this.store(id, item, nowMs, Infinity);
  }

  /** Notes work of another host, which is forgotten at its expected end. */
  addPeerWork(id: string, item: WorkItem, nowMs: number): void {
    const durationMs =
      this.backlogMs(nowMs) +
      item.prefillMs +
      item.decodeMs * PEER_DECODE_FACTOR;
    this.store(id, item, nowMs, nowMs + durationMs + PEER_EXPIRY_MARGIN_MS);
  }

  /** The engine has processed the prompt; the answer has begun. */
  markPrefilled(id: string, nowMs: number): void {
    const item = this.workById.get(id);
    if (!item || item.prefillDone) return;
    item.prefillDone = true;
    this.releaseUnusedTime(item, nowMs);
  }

  /** The work has ended, or will not be done. */
  remove(id: string, nowMs: number): void {
    const item = this.workById.get(id);
    if (!item) return;
    this.workById.delete(id);
    if (!item.prefillDone) this.releaseUnusedTime(item, nowMs);
  }

  /** Prompt processing ahead of new work, in milliseconds. */
  backlogMs(nowMs: number): number {
    return Math.max(0, this.busyUntilMs - nowMs);
  }

  /** Work that has not ended. */
  entries(nowMs: number): TrackedWork[] {
    const active: TrackedWork[] = [];
    for (const [id, item] of this.workById) {
      if (item.expiresMs <= nowMs) this.workById.delete(id);
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
    this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + item.prefillMs;
    this.workById.set(id, {
      ...item,
      placedMs: nowMs,
      prefillEndMs: this.busyUntilMs,
      prefillDone: false,
      expiresMs,
    });
  }

  /** Gives back time that was expected but is not needed any more. */
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
