/** Result of a publish command. */
export enum PublishVerdict {
  /** The document has the highest version and is in force. */
  Stored = 'stored',
  /** The same document or a higher version was already in force. */
  Unchanged = 'unchanged',
  /** The version is already in force with other content. */
  Conflict = 'conflict',
}
