import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {Fleet} from '../src/index.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_START_FAILED = 3;

describe('a control host with invalid settings', () => {
  const blocker = createServer();

  before(async () => {
    await new Promise<void>(resolve => blocker.listen(0, '127.0.0.1', resolve));
  });

  after(() => {
    blocker.close();
  });

  for (const {name, edit, code, message} of [
    {
      name: 'an unknown key',
      edit: (text: string) => `${text}dataFoldr: x\n`,
      code: EXIT_BAD_SETTINGS,
      message: /control-1\.yaml:\d+: dataFoldr: .*unknown/,
    },
    {
      name: 'text that is not YAML',
      edit: (text: string) => `${text}group: [\n`,
      code: EXIT_BAD_SETTINGS,
      message: /control-1\.yaml:\d+: .*valid YAML/,
    },
    {
      name: 'a missing key',
      edit: (text: string) => text.replace(/^failureDomain: .*$/m, ''),
      code: EXIT_BAD_SETTINGS,
      message: /failureDomain: expected string, found undefined/,
    },
    {
      name: 'a data folder that is not writable',
      edit: (text: string) =>
        text.replace(/^dataFolder: .*$/m, 'dataFolder: /dev/null/data'),
      code: EXIT_START_FAILED,
      message: /data folder .* cannot be written/,
    },
    {
      name: 'a port that is already in use',
      edit: (text: string) => {
        const {port} = blocker.address() as AddressInfo;
        return text.replace(/port: \d+/, `port: ${port}`);
      },
      code: EXIT_START_FAILED,
      message: /already in use/,
    },
  ]) {
    it(`exits with an explanatory message on ${name}`, async () => {
      const folder = mkdtempSync(join(tmpdir(), 'vmux-settings-'));
      const fleet = await Fleet.create({folder, failureDomains: ['fd-a']});
      const [host] = fleet.controlHosts;
      const file = join(folder, 'settings', `${host!.id}.yaml`);
      writeFileSync(file, edit(readFileSync(file, 'utf8')));
      host!.process.start();
      assert.equal(await host!.process.waitForExit(), code);
      const log = readFileSync(join(folder, 'logs', `${host!.id}.log`), 'utf8');
      assert.match(log, message);
    });
  }
});
