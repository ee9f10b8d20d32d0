/** Keeps the newest `capacity` items; the oldest give way. */
export class RingBuffer<T> {
  private readonly slots: T[] = [];
  private nextIndex = 0;

  constructor(private readonly capacity: number) {}

  /** Adds an item, in constant time. */
  push(item: T): void {
    this.slots[this.nextIndex] = item;
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
  }

  /** Returns the items, oldest first. */
  toArray(): T[] {
    if (this.slots.length < this.capacity) return this.slots.slice();
    return [
      ...this.slots.slice(this.nextIndex),
      ...this.slots.slice(0, this.nextIndex),
    ];
  }
}
