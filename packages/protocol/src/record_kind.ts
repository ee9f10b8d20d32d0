/** Kinds of entries in the record. */
export enum RecordKind {
  /** First entry of a chain: an entry host started. */
  Opened = 'opened',
  Admitted = 'admitted',
  Refused = 'refused',
  Completed = 'completed',
  /** Last entry of a chain: the entry host shut down gracefully. */
  Closed = 'closed',
}
