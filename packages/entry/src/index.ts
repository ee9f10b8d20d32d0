export {BackendDirectory} from './backend_directory.js';
export {BackendHealth} from './backend_health.js';
export {EngineClient} from './engine_client.js';
export {type EntryRouter} from './entry_router.js';
export {EntryServer} from './entry_server.js';
export {type EntrySettings} from './entry_settings.js';
export {entrySettingsSchema} from './entry_settings_schema.js';
export {type EntryStatus} from './entry_status.js';
export {DeclarationIndex} from './declaration_index.js';
