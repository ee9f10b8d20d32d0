import {runBinary} from '@vanillamux/shared';
import {entrySettingsSchema} from '../entry_settings_schema.js';
import {EntryServer} from '../entry_server.js';

runBinary({
  name: 'vmux-entry',
  description: 'Run an entry host for callers',
  defaultConfig: 'entry.yaml',
  schema: entrySettingsSchema,
  start: settings => EntryServer.start(settings),
});
