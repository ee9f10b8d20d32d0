import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {z} from 'zod';
import {SettingsWatcher} from '../src/index.js';

const schema = z.object({port: z.number()}).strict();

const CASES = [
  {name: 'valid settings', text: 'port: 2', expected: [{port: 2}]},
  {name: 'settings of another type', text: 'port: two', expected: []},
  {name: 'no YAML at all', text: 'port: [', expected: []},
];

describe('SettingsWatcher', () => {
  for (const {name, text, expected} of CASES) {
    it(`reloads ${name}`, async () => {
      const file = join(mkdtempSync(join(tmpdir(), 'vmux-')), 'settings.yaml');
      writeFileSync(file, text);
      const received: unknown[] = [];
      const watcher = new SettingsWatcher({
        file,
        schema,
        onChange: settings => received.push(settings),
      });
      await watcher.reload();
      assert.deepEqual(received, expected);
    });
  }

  it('keeps the settings when the file is gone', async () => {
    const received: unknown[] = [];
    const watcher = new SettingsWatcher({
      file: join(tmpdir(), 'vmux-no-such-file.yaml'),
      schema,
      onChange: settings => received.push(settings),
    });
    await watcher.reload();
    assert.deepEqual(received, []);
  });
});
