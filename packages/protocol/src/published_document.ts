/**
 * A document of which the highest version is in force. The text is opaque to
 * the control group; whoever reads it decodes it.
 */
export interface PublishedDocument {
  readonly version: number;
  /** Digest of the content, equal for documents that mean the same. */
  readonly digest: string;
  readonly text: string;
}
