import {monotonicMs} from '@vanillamux/shared';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {PlacementDecision} from '../placement/placement_decision.js';

/** Options of a `PlacementClaim`. */
export interface PlacementClaimOptions {
  readonly notices: Pick<PeerNotices, 'tell' | 'tellEnd'>;
  /** Names this attempt among all work of the deployment. */
  readonly workId: string;
  readonly decision: PlacementDecision;
  readonly now?: () => number;
}

/**
 * What a placement takes of its engines, in the ledgers of this host and of the
 * others. It begins in the turn of the decision, so that the next decision sees
 * it however many requests are placed at once.
 */
export class PlacementClaim {
  private readonly now: () => number;

  constructor(private readonly options: PlacementClaimOptions) {
    const {notices, workId, decision} = options;
    this.now = options.now ?? monotonicMs;
    decision.backend.inFlight++;
    for (const {backend, item} of decision.work) {
      backend.work.add(workId, item, this.now());
    }
    notices.tell(workId, decision.work);
  }

  /** The engines have processed the prompt. */
  markPrefilled(): void {
    const {workId, decision} = this.options;
    for (const {backend} of decision.work) {
      backend.work.markPrefilled(workId, this.now());
    }
  }

  /** The attempt has ended. */
  release(): void {
    const {notices, workId, decision} = this.options;
    decision.backend.inFlight--;
    for (const {backend} of decision.work) {
      backend.work.remove(workId, this.now());
    }
    notices.tellEnd(workId, decision.work);
  }
}
