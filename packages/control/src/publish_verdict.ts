/** What became of a published document. */
export enum PublishVerdict {
  /** It is the highest version now. */
  Stored = 'stored',
  /** The same or a higher version was there already. */
  Unchanged = 'unchanged',
  /** The version is held with other content. */
  Conflict = 'conflict',
}
