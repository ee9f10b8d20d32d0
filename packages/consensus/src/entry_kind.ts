/** Kind of an entry in the replicated log. */
export enum EntryKind {
  /** Appended by a new leader, which can then commit earlier terms. */
  Noop = 'noop',
  Command = 'command',
  /** The complete member list; takes effect as soon as it is in the log. */
  Members = 'members',
}
