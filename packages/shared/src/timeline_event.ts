import type {EventKind} from './event_kind.js';

/** One event on the time line. */
export interface TimelineEvent {
  /** Hybrid logical timestamp; sorts across processes. */
  readonly at: string;
  readonly host: string;
  readonly failureDomain: string;
  readonly kind: EventKind;
  readonly requestId?: string;
  readonly detail: string;
}
