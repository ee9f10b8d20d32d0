import type {
  EntryPeer,
  Presence,
  PublishedDocument,
} from '@vanillamux/protocol';

/** Takes what the control hosts say. */
export abstract class LinkListener {
  abstract onReports(reports: readonly Presence[]): void;
  /** Version of the document that this host serves with; -1 for none. */
  abstract get version(): number;
  abstract onDocument(document: PublishedDocument): void;
  /**
   * The control host `from` has answered. `isCurrent` says whether it follows a leader
   * with a quorum; `version` is that of its document, `peers` the entry hosts
   * that it knows, unless they are the same as before.
   */
  abstract onContact(contact: {
    readonly from: string;
    readonly isCurrent: boolean;
    readonly version: number;
    readonly peers?: readonly EntryPeer[];
  }): void;
}
