/** An item waiting in a `FairQueue`. */
interface QueueEntry<T> {
  readonly item: T;
  readonly flow: string;
  readonly startTag: number;
  readonly sequence: number;
}

/**
 * Start-time fair queueing (Goyal, Vin and Cheng, 1996): flows share in
 * proportion to their weights, counted in cost, whatever their demand.
 */
export class FairQueue<T> {
  private entries: Array<QueueEntry<T>> = [];
  private readonly finishTags = new Map<string, number>();
  private virtualTime = 0;
  private nextSequence = 0;

  get size(): number {
    return this.entries.length;
  }

  /** Adds an item of a flow. */
  push(item: T, flow: string, cost: number, weight: number): void {
    const startTag = Math.max(this.virtualTime, this.finishTags.get(flow) ?? 0);
    this.finishTags.set(flow, startTag + cost / weight);
    const sequence = this.nextSequence++;
    this.entries.push({item, flow, startTag, sequence: sequence});
  }

  /** The item that is next; `undefined` when none waits. */
  peek(): T | undefined {
    return this.findNext()?.item;
  }

  /** Takes the item whose flow is furthest behind its share. */
  pop(): T | undefined {
    const next = this.findNext();
    if (!next) return undefined;
    this.entries.splice(this.entries.indexOf(next), 1);
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    if (this.entries.length === 0) this.deleteIdleFlows();
    return next.item;
  }

  /** Removes an item that no longer wants to wait. */
  remove(item: T): boolean {
    const index = this.entries.findIndex(entry => entry.item === item);
    if (index < 0) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** Items in the order of arrival. */
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

  /** Flows that are not ahead of virtual time need no tag. */
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
