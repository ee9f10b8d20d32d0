/** Kinds of entries in the replicated log. */
export enum EntryKind {
  /** Appended by a new leader, so that it can commit earlier terms. */
  Noop = 'noop',
  Command = 'command',
  /** The whole member list; in force as soon as it is in the log. */
  Members = 'members',
}
