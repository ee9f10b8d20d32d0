import type {ConnectionPools} from '../connection/connection_pools.js';
import type {Dialect} from '../dialect/dialect.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {ConfigStore} from '../link/config_store.js';
import type {MemoryKeeper} from '../memory/memory_keeper.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {Placements} from '../placement/placements.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import type {RequestRecorder} from './request_recorder.js';
import type {SharedRetryBudget} from './shared_retry_budget.js';

/** Components of an entry host that handle a request. */
export interface GatewayComponents {
  readonly dialect: Dialect;
  readonly configStore: ConfigStore;
  readonly backends: BackendPool;
  readonly connections: ConnectionPools;
  readonly placements: Placements;
  readonly retryBudget: SharedRetryBudget;
  readonly memory: MemoryKeeper;
  readonly notices: PeerNotices;
  readonly requestRecorder: RequestRecorder;
  readonly metrics: GatewayMetrics;
  /** Whether the host is draining before it stops. */
  readonly isDraining: () => boolean;
}
