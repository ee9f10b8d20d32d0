import type {RecordedCandidate} from '@vanillamux/protocol';
import type {BackendView} from './backend_view.js';

/** The chosen backend server and the figures that led to it. */
export interface RoutingDecision {
  readonly backend: BackendView;
  readonly estimateMs: number;
  readonly cachedTokens: number;
  /** The best candidates, the chosen one first. */
  readonly candidates: readonly RecordedCandidate[];
}
