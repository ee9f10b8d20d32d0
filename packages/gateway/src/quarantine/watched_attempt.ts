import type {Backend} from '../fleet/backend.js';

/** An attempt whose backend server may end under it. */
export interface WatchedAttempt {
  readonly requestId: string;
  readonly backend: Backend;
  /** The request, as a suspect. */
  readonly request: string;
  /** Shared parts of the prompt, in order. */
  readonly parts: readonly string[];
  /** Ends the attempt, as one of its suspects is in quarantine. */
  readonly abort: () => void;
  /** When its first event arrived, on the monotonic clock. */
  firstProgressMs?: number;
  /** Whether its suspects were recorded as sound. */
  isSound: boolean;
}
