import type {
  EntryPeer,
  Presence,
  PublishedDocument,
} from '@vanillamux/protocol';

/** Receives updates from the control hosts. */
export abstract class LinkListener {
  abstract onReports(reports: readonly Presence[]): void;
  /** Version of the configuration that this host has; -1 for none. */
  abstract get version(): number;
  abstract onDocument(document: PublishedDocument): void;
  /**
   * Called when the control host `from` has responded. `isCurrent` says whether
   * it follows a leader with a quorum, `version` is the version of its
   * configuration document, and `peers` are the entry hosts that it knows,
   * unless they are unchanged.
   */
  abstract onContact(contact: {
    readonly from: string;
    readonly isCurrent: boolean;
    readonly version: number;
    readonly peers?: readonly EntryPeer[];
  }): void;
}
