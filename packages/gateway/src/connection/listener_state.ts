/** What listens at the address of a server. */
export enum ListenerState {
  Listening = 'listening',
  /** The server's host is up, and nothing listens at the address. */
  Closed = 'closed',
  /** Another process listens at the address. */
  Replaced = 'replaced',
  /** The server may be overloaded, or out of reach. */
  Unclear = 'unclear',
}
