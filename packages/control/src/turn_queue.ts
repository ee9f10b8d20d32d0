import {setImmediate} from 'node:timers/promises';

/** Tasks that go on in one turn of the event loop. */
const TASKS_PER_TURN = 8;

/**
 * Lets tasks go on in the order in which they came, a few in each turn of the
 * event loop, so that messages which arrive meanwhile are handled between them.
 */
export class TurnQueue {
  private waiting: Array<() => void> = [];
  private draining?: Promise<void>;

  /** Tasks that wait for their turn. */
  get length(): number {
    return this.waiting.length;
  }

  /** Resolves when it is the turn of this task. */
  next(): Promise<void> {
    return new Promise(resolve => {
      this.waiting.push(resolve);
      this.draining ??= this.drain();
    });
  }

  /** Resolves when no task waits. */
  async idle(): Promise<void> {
    await this.draining;
  }

  private async drain(): Promise<void> {
    while (this.waiting.length > 0) {
      await setImmediate();
      for (const resume of this.waiting.splice(0, TASKS_PER_TURN)) resume();
    }
    this.draining = undefined;
  }
}
