import type {Stream} from 'most';
import {RingBuffer} from './ring_buffer.js';
import {EventBus} from './event_bus.js';
import type {EventKind} from './event_kind.js';
import {HybridClock} from './hybrid_clock.js';
import type {TimelineEvent} from './timeline_event.js';

const DEFAULT_CAPACITY_EVENTS = 4_096;

/** Options of a `Timeline`. */
export interface TimelineOptions {
  readonly host: string;
  readonly failureDomain: string;
  readonly clock?: HybridClock;
  readonly capacityEvents?: number;
}

/** The bounded time line of one process. */
export class Timeline {
  readonly clock: HybridClock;
  private readonly ring: RingBuffer<TimelineEvent>;
  private readonly bus = new EventBus<TimelineEvent>();

  constructor(private readonly options: TimelineOptions) {
    this.clock = options.clock ?? new HybridClock();
    this.ring = new RingBuffer(
      options.capacityEvents ?? DEFAULT_CAPACITY_EVENTS,
    );
  }

  /** Records an event at the present hybrid time. */
  add(kind: EventKind, detail: string, requestId?: string): void {
    const event: TimelineEvent = {
      at: this.clock.now(),
      host: this.options.host,
      failureDomain: this.options.failureDomain,
      kind,
      requestId,
      detail,
    };
    this.ring.push(event);
    this.bus.emit(event);
  }

  /** Returns the events still held, oldest first. */
  events(): TimelineEvent[] {
    return this.ring.toArray();
  }

  /** Streams events as they are recorded. */
  stream(): Stream<TimelineEvent> {
    return this.bus.stream();
  }
}
