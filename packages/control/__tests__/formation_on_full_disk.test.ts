import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {MemberRole, RaftStorage} from '@vanillamux/consensus';
import {ControlHost} from '../src/control_host.js';
import {FormationState} from '../src/formation_state.js';
import {controlSettingsSchema} from '../src/index.js';

describe('a host whose disk is full while its group is formed', () => {
  let folder: string;
  let host: ControlHost;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'vmux-formation-'));
    const opened = await ControlHost.open(
      controlSettingsSchema.parse({
        id: 'a',
        failureDomain: 'fd',
        listen: '127.0.0.1:1',
        dataFolder: folder,
        group: [{id: 'a', failureDomain: 'fd', address: '127.0.0.1:1'}],
      }),
    );
    assert.ok(opened.ok);
    host = opened.value;
  });

  afterEach(async () => {
    mock.restoreAll();
    await host.close();
    rmSync(folder, {recursive: true});
  });

  it('belongs to no group until it has stored the members', async () => {
    const members = [{...host.self, role: MemberRole.Voter}];
    const save = mock.method(RaftStorage.prototype, 'saveSnapshot', () =>
      Promise.reject(Object.assign(new Error('full'), {code: 'ENOSPC'})),
    );
    await assert.rejects(host.formGroup(members));
    assert.equal(host.formationStatus().state, FormationState.Empty);
    save.mock.restore();
    await host.formGroup(members);
    assert.equal(host.formationStatus().state, FormationState.Formed);
  });
});
