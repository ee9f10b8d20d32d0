/** Known state of a backend server. */
export enum PresenceState {
  Ready = 'ready',
  /** Accepts no new requests and stops soon. */
  Draining = 'draining',
  /** Has missed several heartbeats; may be unreachable or stopped. */
  Silent = 'silent',
  /** Has stopped, or another backend server uses its address. */
  Gone = 'gone',
}
