/** Events of the quarantine of suspects, as metrics count them. */
export enum QuarantineEvent {
  /** A backend server ended while it answered requests of this host. */
  BackendEnded = 'backend_ended',
  /** A suspect was put in quarantine, by this host or another. */
  Quarantined = 'quarantined',
  /** A request was let through to find out whether the suspect is still faulty. */
  Trial = 'trial',
  /** A suspect was answered. */
  Lifted = 'lifted',
  /** A request was refused as it is in quarantine, or a part of its prompt is. */
  Refused = 'refused',
}
