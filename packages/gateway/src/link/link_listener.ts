import type {
  EntryPeer,
  EvacuationView,
  PublishedDocument,
} from '@vanillamux/protocol';
import type {BackendCounts, Census} from '@vanillamux/control';
import type {ReportBatch} from '../fleet/backend_pool.js';

/** Receives updates from the control hosts. */
export abstract class LinkListener {
  /** Called with each response to a poll, also if it has no report. */
  abstract onReports(batch: ReportBatch): void;
  /** Called when a control host has left the group. */
  abstract onControlHostLeft(host: string): void;
  /** Version of the configuration that this host has; -1 for none. */
  abstract get version(): number;
  /** Revision of the emptied failure domains that this host knows. */
  abstract get evacuationRevision(): number;
  /** Backend servers of each service that this host may send requests to. */
  abstract get knownBackends(): BackendCounts | undefined;
  abstract onEvacuation(view: EvacuationView): void;
  abstract onDocument(document: PublishedDocument): void;
  /**
   * Called when the control host `from` has responded. `isCurrent` says whether
   * it follows a leader with a quorum, `version` is the version of its
   * configuration document, `peers` are the entry hosts that it knows, unless
   * they are unchanged, and `census` is present if it has just started.
   */
  abstract onContact(contact: {
    readonly from: string;
    readonly isCurrent: boolean;
    readonly version: number;
    readonly peers?: readonly EntryPeer[];
    readonly census?: Census;
  }): void;
}
