import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {monotonicMs, sleep} from '@vanillamux/shared';
import {NodeDisk} from '@vanillamux/storage';
import {ControlHost} from '../src/control_host.js';
import type {FormationStatus} from '../src/formation_status.js';
import {ControlServer} from '../src/control_server.js';
import {
  ControlClient,
  controlSettingsSchema,
  type ControlSettings,
} from '../src/index.js';
import {loadDiskIdentity} from '../src/load_disk_identity.js';

const SEEDS = ['127.0.0.31', '127.0.0.32', '127.0.0.33'];
const POLL_MS = 50;
const TIMEOUT_MS = 12_000;

// A seed that was restarted before the group was formed kept it from forming.
describe('the first start of a control group', () => {
  let folders: string[];
  let hosts: ControlHost[];
  let port: number;

  beforeEach(async () => {
    port = await findFreePort();
    folders = SEEDS.map(() => createFolder());
    hosts = [];
  });

  afterEach(async () => {
    for (const host of hosts) await host.close();
    for (const folder of folders) rmSync(folder, {recursive: true});
  });

  function createSettings(index: number, bootstrap: boolean): ControlSettings {
    return controlSettingsSchema.parse({
      id: `control-${index}`,
      failureDomain: 'fd',
      listen: `${SEEDS[index]}:${port}`,
      dataFolder: folders[index],
      discovery: {
        seeds: SEEDS.map(seed => `${seed}:${port}`),
        peerPort: port,
        bootstrap,
      },
    });
  }

  async function open(index: number, bootstrap: boolean): Promise<ControlHost> {
    const host = await ControlHost.open(createSettings(index, bootstrap));
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

  // The first seed stores the members before it sends them to the others.
  it('forms the group that a killed first seed has told nobody of', async () => {
    for (const index of SEEDS.keys()) await open(index, true);
    const members = hosts.map(({self}) => self);
    await hosts[0]!.formGroup(members);
    for (const host of hosts.splice(0)) await host.close();
    const servers: ControlServer[] = [];
    for (const index of SEEDS.keys()) {
      const server = await ControlServer.start(createSettings(index, false));
      assert.ok(server.ok);
      servers.push(server.value);
    }
    const client = new ControlClient(SEEDS.map(host => ({host, port})));
    try {
      assert.ok(await isServed(client));
    } finally {
      client.close();
      await Promise.all(servers.map(server => server.stop()));
    }
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

/** Whether a leader with a quorum answers in time. */
async function isServed(client: ControlClient): Promise<boolean> {
  const deadlineMs = monotonicMs() + TIMEOUT_MS;
  while (monotonicMs() < deadlineMs) {
    const result = await client.callLeader((api, signal) =>
      api.declarations.current.query(undefined, {signal}),
    );
    if (result.ok) return true;
    await sleep(POLL_MS);
  }
  return false;
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, SEEDS[0]);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

function createFolder(): string {
  return mkdtempSync(join(tmpdir(), 'vmux-first-start-'));
}
