import type {ConnectionPools} from '../connection/connection_pools.js';
import type {Dialect} from '../dialect/dialect.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {ConfigStore} from '../link/config_store.js';
import type {MemoryReservationManager} from '../memory/memory_reservation_manager.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {PlacementPolicies} from '../placement/placement_policies.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import type {RequestRecorder} from './request_recorder.js';
import type {SharedRetryBudget} from './shared_retry_budget.js';

/** The parts of an entry host that a request passes. */
export interface GatewayComponents {
  readonly dialect: Dialect;
  readonly configStore: ConfigStore;
  readonly backends: BackendPool;
  readonly connections: ConnectionPools;
  readonly placements: PlacementPolicies;
  readonly retryBudget: SharedRetryBudget;
  readonly memory: MemoryReservationManager;
  readonly notices: PeerNotices;
  readonly requestRecorder: RequestRecorder;
  readonly metrics: GatewayMetrics;
  /** Whether the host is about to stop. */
  readonly isDraining: () => boolean;
}
