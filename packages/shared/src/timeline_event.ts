import type {EventKind} from './event_kind.js';

/** An event on the timeline. */
export interface TimelineEvent {
  /** Hybrid logical timestamp; sorts across processes. */
  readonly at: string;
  readonly host: string;
  readonly failureDomain: string;
  readonly kind: EventKind;
  readonly requestId?: string;
  readonly detail: string;
}
