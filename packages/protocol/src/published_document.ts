/**
 * A versioned document; the highest version is in force. The text is opaque to
 * the control group and is decoded by its readers.
 */
export interface PublishedDocument {
  readonly version: number;
  /** Digest of the content, equal for documents of the same meaning. */
  readonly digest: string;
  readonly text: string;
}
