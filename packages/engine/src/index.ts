export {
  EngineModel,
  type EngineModelOptions,
  type Holding,
} from './engine_model.js';
export {type EngineCost, type EngineSettings} from './engine_settings.js';
export {engineSettingsSchema} from './engine_settings_schema.js';
export {FaultKind} from './fault_kind.js';
export {FaultSwitch} from './fault_switch.js';
export {OrderDesk, type EngineOrder} from './order_desk.js';
export {SequencePhase} from './sequence_phase.js';
export {VirtualClock} from './virtual/virtual_clock.js';
export {VirtualEngine, type SubmittedWork} from './virtual/virtual_engine.js';
export {type VirtualWork} from './virtual/virtual_work.js';
