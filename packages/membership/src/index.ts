export {BackendChangeKind, type BackendChange} from './backend_change.js';
export {type BackendRecord} from './backend_record.js';
export {BackendTable} from './backend_table.js';
export {type Delta} from './delta.js';
export {EntryMesh, type EntryMeshOptions} from './entry_mesh.js';
export {createMeshRouter, type MeshRouterRoot} from './mesh_router.js';
