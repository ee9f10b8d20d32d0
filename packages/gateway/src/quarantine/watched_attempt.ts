import type {Backend} from '../fleet/backend.js';

/** An attempt whose backend server may end under its prompt. */
export interface WatchedAttempt {
  readonly requestId: string;
  readonly backend: Backend;
  /** Shared parts of the prompt, in order. */
  readonly parts: readonly string[];
  /** Ends the attempt, as its prompt has a part in quarantine. */
  readonly abort: () => void;
  /** When its first event arrived, on the monotonic clock. */
  firstProgressMs?: number;
  /** Whether its parts were recorded as sound. */
  isSound: boolean;
}
