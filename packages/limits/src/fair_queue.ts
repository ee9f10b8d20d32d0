/** An item waiting in a `FairQueue`. */
interface Waiting<T> {
  readonly item: T;
  readonly flow: string;
  readonly startTag: number;
  readonly order: number;
}

/**
 * Start-time fair queueing (Goyal, Vin and Cheng, 1996): flows share in
 * proportion to their weights, counted in cost, whatever their demand.
 */
export class FairQueue<T> {
  private waiting: Array<Waiting<T>> = [];
  private readonly finishTags = new Map<string, number>();
  private virtualTime = 0;
  private nextOrder = 0;

  get size(): number {
    return this.waiting.length;
  }

  /** Adds an item of a flow. */
  push(item: T, flow: string, cost: number, weight: number): void {
    const startTag = Math.max(this.virtualTime, this.finishTags.get(flow) ?? 0);
    this.finishTags.set(flow, startTag + cost / weight);
    const order = this.nextOrder++;
    this.waiting.push({item, flow, startTag, order});
  }

  /** The item that is next; `undefined` when none waits. */
  peek(): T | undefined {
    return this.findNext()?.item;
  }

  /** Takes the item whose flow is furthest behind its share. */
  pop(): T | undefined {
    const next = this.findNext();
    if (!next) return undefined;
    this.waiting.splice(this.waiting.indexOf(next), 1);
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    if (this.waiting.length === 0) this.forgetIdleFlows();
    return next.item;
  }

  /** Removes an item that no longer wants to wait. */
  remove(item: T): boolean {
    const at = this.waiting.findIndex(waiting => waiting.item === item);
    if (at < 0) return false;
    this.waiting.splice(at, 1);
    return true;
  }

  /** Items in the order of arrival. */
  items(): T[] {
    return this.waiting.map(({item}) => item);
  }

  private findNext(): Waiting<T> | undefined {
    let next: Waiting<T> | undefined;
    for (const waiting of this.waiting) {
      if (!next || isBefore(waiting, next)) next = waiting;
    }
    return next;
  }

  /** Flows that are not ahead of virtual time need no tag. */
  private forgetIdleFlows(): void {
    for (const [flow, tag] of this.finishTags) {
      if (tag <= this.virtualTime) this.finishTags.delete(flow);
    }
  }
}

function isBefore<T>(a: Waiting<T>, b: Waiting<T>): boolean {
  if (a.startTag !== b.startTag) return a.startTag < b.startTag;
  return a.order < b.order;
}
