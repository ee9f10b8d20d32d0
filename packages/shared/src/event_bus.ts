import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

const EVENT_NAME = 'item';

/** A push source whose items are read as a `most` stream. */
export class EventBus<T> {
  private readonly emitter = new EventEmitter();

  constructor() {
    this.emitter.setMaxListeners(0);
  }

  /** Delivers an item to every current observer, synchronously. */
  emit(item: T): void {
    this.emitter.emit(EVENT_NAME, item);
  }

  /** Returns the stream of items emitted from now on. */
  stream(): Stream<T> {
    return fromEvent<T>(EVENT_NAME, this.emitter);
  }
}
