import assert from 'node:assert/strict';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {NodeDisk} from '@vanillamux/storage';
import {ControlHost} from '../src/control_host.js';
import type {FormationStatus} from '../src/formation_status.js';
import {controlSettingsSchema} from '../src/index.js';
import {loadDiskIdentity} from '../src/load_disk_identity.js';

const SEEDS = ['127.0.0.1', '127.0.0.2', '127.0.0.3'];
const PORT = 1;

// A seed that was restarted before the group was formed kept it from forming.
describe('the first start of a control group', () => {
  let folders: string[];
  let hosts: ControlHost[];

  beforeEach(() => {
    folders = SEEDS.map(() => createFolder());
    hosts = [];
  });

  afterEach(async () => {
    for (const host of hosts) await host.close();
    for (const folder of folders) rmSync(folder, {recursive: true});
  });

  async function open(index: number, bootstrap: boolean): Promise<ControlHost> {
    const host = await ControlHost.open(
      controlSettingsSchema.parse({
        id: `control-${index}`,
        failureDomain: 'fd',
        listen: `${SEEDS[index]}:${PORT}`,
        dataFolder: folders[index],
        discovery: {
          seeds: SEEDS.map(seed => `${seed}:${PORT}`),
          peerPort: PORT,
          bootstrap,
        },
      }),
    );
    assert.ok(host.ok);
    hosts.push(host.value);
    return host.value;
  }

  /** Opens a host again, as a process that is restarted does. */
  async function restart(
    index: number,
    losesDisk: boolean,
  ): Promise<ControlHost> {
    const host = await open(index, true);
    await host.close();
    hosts.splice(hosts.indexOf(host), 1);
    if (losesDisk) {
      rmSync(folders[index]!, {recursive: true});
      folders[index] = createFolder();
    }
    return open(index, false);
  }

  const CASES = [
    {restarted: [], wiped: [], isFormed: true},
    {restarted: [0], wiped: [], isFormed: true},
    {restarted: [0, 1, 2], wiped: [], isFormed: true},
    {restarted: [], wiped: [0], isFormed: true},
    {restarted: [0, 1], wiped: [2], isFormed: true},
    {restarted: [0], wiped: [1, 2], isFormed: false},
    {restarted: [], wiped: [0, 1, 2], isFormed: false},
  ];
  for (const {restarted, wiped, isFormed} of CASES) {
    const name = `${restarted.length} restarted and ${wiped.length} without their disks`;
    it(`${isFormed ? 'forms' : 'does not form'} with ${name}`, async () => {
      const statuses: FormationStatus[] = [];
      for (const index of SEEDS.keys()) {
        const isRestarted = [...restarted, ...wiped].some(at => at === index);
        const host = isRestarted
          ? await restart(
              index,
              wiped.some(at => at === index),
            )
          : await open(index, true);
        statuses.push(host.formationStatus());
      }
      const members = hosts[0]!.findInitialMembers(statuses);
      const expected = statuses.map(({member}) => member.id);
      assert.deepEqual(
        members?.map(({id}) => id),
        isFormed ? expected : undefined,
      );
    });
  }

  it('does not form while a seed does not report', async () => {
    const statuses = [];
    for (const index of [0, 1])
      statuses.push((await open(index, true)).formationStatus());
    assert.equal(hosts[0]!.findInitialMembers(statuses), undefined);
  });

  it('keeps the member id of a disk of the build before', async () => {
    const disk = await NodeDisk.openFolder(folders[0]!);
    assert.ok(disk.ok);
    const before = await loadDiskIdentity(disk.value, false);
    const first = await loadDiskIdentity(disk.value, true);
    const after = await loadDiskIdentity(disk.value, false);
    assert.ok(before.ok && first.ok && after.ok);
    assert.equal(first.value.diskId, before.value.diskId);
    assert.deepEqual(after.value, {...before.value, mayFound: true});
  });
});

function createFolder(): string {
  return mkdtempSync(join(tmpdir(), 'vmux-first-start-'));
}
