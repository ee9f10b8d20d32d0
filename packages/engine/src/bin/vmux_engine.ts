import {runBinary} from '@vanillamux/shared';
import {EngineProcess} from '../engine_process.js';
import {engineSettingsSchema} from '../engine_settings_schema.js';

runBinary({
  name: 'vmux-engine',
  description: 'Run a mock engine or plain service (development)',
  defaultConfig: 'engine.yaml',
  schema: engineSettingsSchema,
  start: settings => EngineProcess.start(settings),
});
