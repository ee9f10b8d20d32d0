import {runBinary} from '@vanillamux/shared';
import {controlSettingsSchema} from '../control_settings_schema.js';
import {ControlServer} from '../control_server.js';

runBinary({
  name: 'vmux-control',
  description: 'Run a control host of the replicated log',
  defaultConfig: 'control.yaml',
  schema: controlSettingsSchema,
  start: settings => ControlServer.start(settings),
});
