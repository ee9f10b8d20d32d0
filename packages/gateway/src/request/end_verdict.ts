/**
 * What the end of a connection says of a body that it delimits. A process that
 * crashes closes its connections like one that has sent all of a body.
 */
export enum EndVerdict {
  /** The server goes on, so that it has ended the body itself. */
  Whole = 'whole',
  /** The server may have ended the body itself, or broken off. */
  Unproven = 'unproven',
  /** The server is gone, and a part of the body may be missing. */
  Broken = 'broken',
}
