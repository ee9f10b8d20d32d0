import type {PrefillHelper} from './prefill_helper.js';

/** Metadata that is sent to a backend server with a request. */
export interface AttemptMetadata {
  /** Only this backend server may run the request. */
  readonly backendId: string;
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
  /** Workspace of the client, unless the route needs no key. */
  readonly workspace?: string;
  /** Id of the last event that the client has received. */
  readonly lastEventId?: string;
  /**
   * Engines that each process a share of the prompt. The engine that responds
   * is among them, and comes first, if KV memory is reserved on it.
   */
  readonly helpers: readonly PrefillHelper[];
  /** Urgency at the engine; 0 is the most urgent. */
  readonly priority?: number;
}
