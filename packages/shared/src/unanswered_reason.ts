/** Why a connection closed before the response on it was complete. */
export enum UnansweredReason {
  /** The client closed or reset the connection. */
  ClientLeft = 'client_left',
  /** The grace time of a stop ended. */
  Stopped = 'stopped',
  /** This host closed the connection otherwise, as after a broken attempt. */
  Closed = 'closed',
}
