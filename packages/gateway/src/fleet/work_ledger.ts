import type {LedgerEntry} from './ledger_entry.js';
import type {WorkItem} from './work_item.js';

/**
 * Factor on the expected time of decoding by other hosts' work, after which it
 * is forgotten. Their notice of its end comes earlier, unless it is lost;
 * decoding lasts longer than expected where prompts are processed beside it.
 */
const FOREIGN_SLACK = 3;
const FOREIGN_SLACK_MS = 100;

/**
 * Work placed on one engine that has not ended, with an estimate of the prompt
 * processing that is still ahead. Engines process prompts in turn.
 */
export class WorkLedger {
  private readonly items = new Map<string, LedgerEntry>();
  private busyUntilMs = 0;

  /** Notes work of this host; its end will be noted too. */
  add(id: string, item: WorkItem, nowMs: number): void {
    this.store(id, item, nowMs, Infinity);
  }

  /** Notes work of another host, which is forgotten at its expected end. */
  addForeign(id: string, item: WorkItem, nowMs: number): void {
    const durationMs =
      this.backlogMs(nowMs) + item.prefillMs + item.decodeMs * FOREIGN_SLACK;
    this.store(id, item, nowMs, nowMs + durationMs + FOREIGN_SLACK_MS);
  }

  /** The engine has processed the prompt; the answer has begun. */
  markPrefilled(id: string, nowMs: number): void {
    const item = this.items.get(id);
    if (!item || item.prefillDone) return;
    item.prefillDone = true;
    this.release(item, nowMs);
  }

  /** The work has ended, or will not be done. */
  remove(id: string, nowMs: number): void {
    const item = this.items.get(id);
    if (!item) return;
    this.items.delete(id);
    if (!item.prefillDone) this.release(item, nowMs);
  }

  /** Prompt processing ahead of new work, in milliseconds. */
  backlogMs(nowMs: number): number {
    return Math.max(0, this.busyUntilMs - nowMs);
  }

  /** Work that has not ended. */
  entries(nowMs: number): LedgerEntry[] {
    const live: LedgerEntry[] = [];
    for (const [id, item] of this.items) {
      if (item.expiresMs <= nowMs) this.items.delete(id);
      else live.push(item);
    }
    return live;
  }

  private store(
    id: string,
    item: WorkItem,
    nowMs: number,
    expiresMs: number,
  ): void {
    this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + item.prefillMs;
    this.items.set(id, {
      ...item,
      placedMs: nowMs,
      prefillEndMs: this.busyUntilMs,
      prefillDone: false,
      expiresMs,
    });
  }

  /** Gives back time that was expected but is not needed any more. */
  private release(item: LedgerEntry, nowMs: number): void {
    const unusedMs = Math.min(item.prefillEndMs - nowMs, item.prefillMs);
    if (unusedMs <= 0) return;
    this.busyUntilMs -= unusedMs;
    for (const other of this.items.values()) {
      if (other.prefillEndMs > item.prefillEndMs) {
        other.prefillEndMs -= unusedMs;
      }
    }
  }
}
