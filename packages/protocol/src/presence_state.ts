/** What is known of a backend server's life. */
export enum PresenceState {
  Ready = 'ready',
  /** Takes no new work and ends soon. */
  Draining = 'draining',
  /** Has missed several heartbeats; may be cut off or dead. */
  Silent = 'silent',
  /** Has ended, or another backend server has its address. */
  Gone = 'gone',
}
