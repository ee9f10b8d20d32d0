/** Whether a server accepts connections. */
export enum ListenerState {
  Listening = 'listening',
  /** The server's host is up, and nothing listens at the address. */
  Closed = 'closed',
  /** The server may be overloaded, or out of reach. */
  Unclear = 'unclear',
}
