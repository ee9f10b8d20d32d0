/** Whether a backend server is taken to be alive. */
export enum BackendLiveness {
  /** A control host hears it, or has not said otherwise for long. */
  Alive = 'alive',
  /** No control host hears it; it may be unreachable or stopped. */
  Silent = 'silent',
  /** No control host has heard it for so long that it is taken to be stopped. */
  Gone = 'gone',
}
