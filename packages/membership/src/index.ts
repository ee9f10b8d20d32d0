export {BackendChangeKind, type BackendChange} from './backend_change.js';
export {type BackendInFlight} from './backend_in_flight.js';
export {type BackendRecord} from './backend_record.js';
export {BackendTable} from './backend_table.js';
export {type Delta} from './delta.js';
export {
  EntryMesh,
  type DeltaResponse,
  type EntryMeshOptions,
  type LivePeer,
} from './entry_mesh.js';
export {endIncarnation} from './end_incarnation.js';
export {createMeshRouter, type MeshRouterRoot} from './mesh_router.js';
export {PeerInFlightTracker} from './peer_in_flight_tracker.js';
export {DeltaOutbox} from './delta_outbox.js';
export {PresenceTable} from './presence_table.js';
