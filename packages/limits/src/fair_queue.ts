/** An item in a `FairQueue`. */
interface QueueEntry<T> {
  readonly item: T;
  readonly flow: string;
  readonly startTag: number;
  readonly sequence: number;
}

/**
 * Start-time fair queueing (Goyal, Vin and Cheng, 1996): backlogged flows are
 * served in proportion to their weights, measured in cost, whatever their
 * demand.
 */
export class FairQueue<T> {
  private entries: Array<QueueEntry<T>> = [];
  private readonly finishTags = new Map<string, number>();
  private virtualTime = 0;
  private nextSequence = 0;

  get size(): number {
    return this.entries.length;
  }

  push(item: T, flow: string, cost: number, weight: number): void {
    const startTag = Math.max(this.virtualTime, this.finishTags.get(flow) ?? 0);
    this.finishTags.set(flow, startTag + cost / weight);
    const sequence = this.nextSequence++;
    this.entries.push({item, flow, startTag, sequence});
  }

  /** Returns the next item without removing it; `undefined` if empty. */
  peek(): T | undefined {
    return this.findNext()?.item;
  }

  /** Removes and returns the item whose flow is furthest behind its share. */
  pop(): T | undefined {
    const next = this.findNext();
    if (!next) return undefined;
    this.entries.splice(this.entries.indexOf(next), 1);
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    if (this.entries.length === 0) this.deleteIdleFlows();
    return next.item;
  }

  /** Removes an item before it is served. Returns whether it was queued. */
  remove(item: T): boolean {
    const index = this.entries.findIndex(entry => entry.item === item);
    if (index < 0) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** Returns the items in the order of arrival. */
  items(): T[] {
    return this.entries.map(({item}) => item);
  }

  private findNext(): QueueEntry<T> | undefined {
    let next: QueueEntry<T> | undefined;
    for (const entry of this.entries) {
      if (!next || isServedBefore(entry, next)) next = entry;
    }
    return next;
  }

  /** Deletes finish tags up to virtual time, where their flows start anyway. */
  private deleteIdleFlows(): void {
    for (const [flow, finishTag] of this.finishTags) {
      if (finishTag <= this.virtualTime) this.finishTags.delete(flow);
    }
  }
}

function isServedBefore<T>(a: QueueEntry<T>, b: QueueEntry<T>): boolean {
  if (a.startTag !== b.startTag) return a.startTag < b.startTag;
  return a.sequence < b.sequence;
}
