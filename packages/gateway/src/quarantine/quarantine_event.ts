/** Events of the quarantine of prompt parts, as metrics count them. */
export enum QuarantineEvent {
  /** A backend server ended while it answered requests of this host. */
  BackendEnded = 'backend_ended',
  /** A part was put in quarantine, by this host or another. */
  Quarantined = 'quarantined',
  /** A request was let through to find out whether the part is still faulty. */
  Trial = 'trial',
  /** A request with the part was answered. */
  Lifted = 'lifted',
  /** A request with a part in quarantine was refused. */
  Refused = 'refused',
}
