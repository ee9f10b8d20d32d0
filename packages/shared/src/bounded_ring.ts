/** Keeps the newest `capacity` items; the oldest give way. */
export class BoundedRing<T> {
  private readonly slots: T[] = [];
  private next = 0;

  constructor(private readonly capacity: number) {}

  /** Adds an item, in constant time. */
  push(item: T): void {
    this.slots[this.next] = item;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Returns the items, oldest first. */
  toArray(): T[] {
    if (this.slots.length < this.capacity) return this.slots.slice();
    return [...this.slots.slice(this.next), ...this.slots.slice(0, this.next)];
  }
}
