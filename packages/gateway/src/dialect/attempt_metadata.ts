import type {PrefillHelper} from './prefill_helper.js';

/** What a backend server is told with a request. */
export interface AttemptMetadata {
  /** Only this backend server may run the request. */
  readonly backendId: string;
  /** Time that is left for the answer. */
  readonly remainingMs: number;
  /** Workspace of the client, unless the route needs no key. */
  readonly workspace?: string;
  /** Id of the last event that the client has. */
  readonly lastEventId?: string;
  /**
   * Engines that process a part of the prompt each. The answering engine is
   * among them, and the first, when memory is kept for the request on it.
   */
  readonly helpers: readonly PrefillHelper[];
  /** Urgency at the engine; 0 is the most urgent. */
  readonly priority?: number;
}
