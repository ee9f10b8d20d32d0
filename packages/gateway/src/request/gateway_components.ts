import type {ByteBudget} from '../bytes/byte_budget.js';
import type {AdmissionPolicies} from '../admission/admission_policies.js';
import type {ConnectionPools} from '../connection/connection_pools.js';
import type {ProcessChecks} from '../connection/process_checks.js';
import type {Dialect} from '../dialect/dialect.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import type {BackendSignals} from '../fleet/backend_signals.js';
import type {HomePolicy} from '../homes/home_policy.js';
import type {KnownBackends} from '../known_backends/known_backends.js';
import type {ConfigStore} from '../link/config_store.js';
import type {MemoryReservationManager} from '../memory/memory_reservation_manager.js';
import type {FactSync} from '../peers/fact_sync.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {PlacementPolicies} from '../placement/placement_policies.js';
import type {QuarantineManager} from '../quarantine/quarantine_manager.js';
import type {RelayGate} from '../relay/relay_gate.js';
import type {RelayPeers} from '../relay/relay_peers.js';
import type {FirstContact} from '../reach/first_contact.js';
import type {ServiceReach} from '../reach/service_reach.js';
import type {RequestLimitManager} from '../request_limits/request_limit_manager.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import type {RequestRecorder} from './request_recorder.js';
import type {StopGate} from './stop_gate.js';
import type {SharedRetryBudget} from './shared_retry_budget.js';

/** Components of an entry host that handle a request. */
export interface GatewayComponents {
  readonly dialect: Dialect;
  readonly configStore: ConfigStore;
  readonly backends: BackendPool;
  readonly homes: HomePolicy;
  readonly knownBackends: Pick<KnownBackends, 'wait'>;
  readonly connections: ConnectionPools;
  readonly processChecks: ProcessChecks;
  readonly placements: PlacementPolicies;
  readonly admission: AdmissionPolicies;
  readonly retryBudget: SharedRetryBudget;
  readonly memory: MemoryReservationManager;
  readonly notices: PeerNotices;
  readonly quarantine: QuarantineManager;
  readonly requestLimits: RequestLimitManager;
  readonly backendSignals: BackendSignals;
  readonly reach: ServiceReach;
  readonly firstContact: FirstContact;
  readonly relayPeers: RelayPeers;
  readonly relayGate: RelayGate;
  /** Id of this entry host. */
  readonly hostId: string;
  readonly factSync: FactSync;
  readonly requestRecorder: RequestRecorder;
  /** Bytes of requests' bodies, by workspace. */
  readonly requestBytes: ByteBudget;
  /** Bytes of responses that are kept whole, by backend server. */
  readonly responseBytes: ByteBudget;
  readonly metrics: GatewayMetrics;
  /** Requests that a host takes that is about to stop. */
  readonly stopGate: StopGate;
}
