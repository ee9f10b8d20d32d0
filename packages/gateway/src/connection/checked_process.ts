import type {ListenerState} from './listener_state.js';

/** What was found at the address of a backend server. */
export interface CheckedProcess {
  readonly state: ListenerState;
  /** When the process that replaces the known one started, in Unix milliseconds. */
  readonly startedAtMs?: number;
}
