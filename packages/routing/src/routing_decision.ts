import type {RecordedCandidate} from '@vanillamux/protocol';
import type {BackendView} from './backend_view.js';

/** The chosen backend server and the estimates behind the choice. */
export interface RoutingDecision {
  readonly backend: BackendView;
  readonly estimateMs: number;
  readonly cachedTokens: number;
  /** The chosen candidate, then the best alternatives if they were compared. */
  readonly candidates: readonly RecordedCandidate[];
}
