export {
  MockEngine,
  type MockEngineOptions,
  type MemoryReservation,
} from './mock_engine.js';
export {type EngineCost, type EngineSettings} from './engine_settings.js';
export {engineSettingsSchema} from './engine_settings_schema.js';
export {FaultKind} from './fault_kind.js';
export {FaultInjector} from './fault_injector.js';
export {OrderExecutor, type EngineOrder} from './order_executor.js';
export {SequencePhase} from './sequence_phase.js';
export {MAX_HELPER_ENTRIES} from './virtual/max_helper_entries.js';
export {VirtualClock} from './virtual/virtual_clock.js';
export {VirtualEngine, type WorkHandle} from './virtual/virtual_engine.js';
export {type VirtualWork} from './virtual/virtual_work.js';
