import {monotonicMs} from '@vanillamux/shared';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {PlacementDecision} from '../placement/placement_decision.js';

/** Options of a `PlacementClaim`. */
export interface PlacementClaimOptions {
  readonly notices: Pick<PeerNotices, 'tell' | 'tellEnd'>;
  /** Identifies this attempt among all work of the deployment. */
  readonly workId: string;
  readonly decision: PlacementDecision;
  readonly now?: () => number;
}

/**
 * Enters the work of a placement in the engines' ledgers on this host and, by
 * notices, on the other entry hosts, until the attempt has ended. The
 * constructor runs synchronously after the decision, so that the next decision
 * sees the work even if many requests are placed in one turn of the event loop.
 */
export class PlacementClaim {
  private readonly now: () => number;
  private isReleased = false;

  constructor(private readonly options: PlacementClaimOptions) {
    const {notices, workId, decision} = options;
    this.now = options.now ?? monotonicMs;
    decision.backend.inFlight++;
    for (const {backend, item} of decision.work) {
      backend.work.add(workId, item, this.now());
    }
    notices.tell(workId, decision.work);
  }

  /** Marks the prefill as completed on all engines of the placement. */
  markPrefilled(): void {
    const {workId, decision} = this.options;
    for (const {backend} of decision.work) {
      backend.work.markPrefilled(workId, this.now());
    }
  }

  /**
   * Removes the work from the ledgers, when the attempt has ended or its
   * backend server is silent. Further calls have no effect.
   */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    const {notices, workId, decision} = this.options;
    decision.backend.inFlight--;
    for (const {backend} of decision.work) {
      backend.work.remove(workId, this.now());
    }
    notices.tellEnd(workId, decision.work);
  }
}
