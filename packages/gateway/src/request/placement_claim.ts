import {monotonicMs} from '@vanillamux/shared';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {PlacementDecision} from '../placement/placement_decision.js';

/**
 * What a placement takes of its engines, in the ledgers of this host and of the
 * others. It begins in the turn of the decision, so that the next decision sees
 * it however many requests are placed at once.
 */
export class PlacementClaim {
  constructor(
    private readonly notices: PeerNotices,
    /** Names this attempt among all work of the deployment. */
    private readonly workId: string,
    private readonly decision: PlacementDecision,
  ) {
    decision.backend.inFlight++;
    for (const {backend, item} of decision.work) {
      backend.work.add(workId, item, monotonicMs());
    }
    notices.tell(workId, decision.work);
  }

  /** The engines have processed the prompt. */
  markPrefilled(): void {
    for (const {backend} of this.decision.work) {
      backend.work.markPrefilled(this.workId, monotonicMs());
    }
  }

  /** The attempt has ended. */
  end(): void {
    this.decision.backend.inFlight--;
    for (const {backend} of this.decision.work) {
      backend.work.remove(this.workId, monotonicMs());
    }
    this.notices.tellEnd(this.workId, this.decision.work);
  }
}
