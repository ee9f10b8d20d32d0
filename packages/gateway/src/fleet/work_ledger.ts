/** A part of a prompt or a stream that an engine works on. */
export interface WorkItem {
  /** Time that the engine needs for the prompt tokens, undisturbed. */
  readonly prefillMs: number;
  /** Context that the engine holds in memory until the request has ended. */
  readonly tokens: number;
  /** Whether the engine decodes the answer once the prompt is processed. */
  readonly decodes: boolean;
}

interface Entry extends WorkItem {
  /** When the prompt is expected to be processed. */
  prefillEndMs: number;
  prefillDone: boolean;
}

/**
 * Work placed on one engine that has not ended, with an estimate of the prompt
 * processing that is still ahead. Engines process prompts in turn.
 */
export class WorkLedger {
  private readonly items = new Map<string, Entry>();
  private busyUntilMs = 0;

  /** Notes work that was placed. */
  add(id: string, item: WorkItem, nowMs: number): void {
    this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + item.prefillMs;
    this.items.set(id, {
      ...item,
      prefillEndMs: this.busyUntilMs,
      prefillDone: false,
    });
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

  /** Number of sequences that decode, or will. */
  get decoding(): number {
    let count = 0;
    for (const {decodes} of this.items.values()) if (decodes) count++;
    return count;
  }

  /** Number of items that have not ended. */
  get size(): number {
    return this.items.size;
  }

  /** Context that the items hold in memory. */
  get tokens(): number {
    let sum = 0;
    for (const {tokens} of this.items.values()) sum += tokens;
    return sum;
  }

  /** Gives back time that was expected but is not needed any more. */
  private release(item: Entry, nowMs: number): void {
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
