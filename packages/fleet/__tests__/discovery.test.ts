import assert from 'node:assert/strict';
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {ControlClient, type Member} from '@vanillamux/control';
import {sleep} from '@vanillamux/shared';
import {ManagedProcess} from '../src/managed_process.js';
import {findFreePorts} from '../src/find_free_ports.js';

const SCRIPT = fileURLToPath(
  new URL('../../../control/bin/vmux_control.js', import.meta.url),
);
const TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** Hosts share a port and differ only in their address. */
const HOSTS = ['127.0.0.11', '127.0.0.12', '127.0.0.13', '127.0.0.14'];
const SEEDS = HOSTS.slice(0, 3);
const REPLACEMENT = '127.0.0.15';
const ADDITIONAL = '127.0.0.16';

describe('a control group discovered through seeds', () => {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-discovery-'));
  const processes = new Map<string, ManagedProcess>();
  let port: number;
  let client: ControlClient;

  before(async () => {
    [port] = (await findFreePorts(1)) as [number];
    const addresses = [...HOSTS, REPLACEMENT, ADDITIONAL].map(host => ({
      host,
      port,
    }));
    client = new ControlClient(addresses);
    for (const host of HOSTS) start(host, true);
  });

  after(async () => {
    client.close();
    for (const process of processes.values()) await process.stop('SIGKILL');
  });

  function start(host: string, bootstrap: boolean): void {
    const dataFolder = join(folder, host);
    mkdirSync(dataFolder, {recursive: true});
    const config = join(folder, `${host}.yaml`);
    const seeds = SEEDS.map(seed => `${seed}:1`);
    writeFileSync(
      config,
      JSON.stringify({
        id: `control-${host}`,
        failureDomain: 'fd-a',
        listen: `${host}:${port}`,
        dataFolder,
        discovery: {seeds, peerPort: port, bootstrap},
      }),
    );
    const process = new ManagedProcess({
      name: host,
      script: SCRIPT,
      args: ['--config', config],
      logFile: join(folder, `${host}.log`),
    });
    process.start();
    processes.set(host, process);
  }

  async function readVoters(): Promise<Member[]> {
    const status = await client.callLeader(async (api, signal) => {
      await api.declarations.current.query(undefined, {signal});
      return api.group.status.query(undefined, {signal});
    });
    if (!status.ok) return [];
    return status.value.members.filter(({role}) => role === 'voter');
  }

  async function readMemberId(host: string): Promise<string | undefined> {
    const voters = await readVoters();
    return voters.find(({address}) => address.host === host)?.id;
  }

  async function waitForVoters(expected: readonly string[]): Promise<void> {
    let voterHosts: string[] = [];
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += POLL_MS) {
      const voters = await readVoters();
      voterHosts = voters.map(({address}) => address.host).sort();
      if (voterHosts.join() === expected.join()) return;
      await sleep(POLL_MS);
    }
    assert.deepEqual(voterHosts, expected);
  }

  it('forms from the seeds and adds a host that asks to join', async () => {
    await waitForVoters(HOSTS);
  });

  it('replaces a lost host with an empty host at another address', async () => {
    await processes.get(HOSTS[0]!)!.stop('SIGKILL');
    start(REPLACEMENT, false);
    await waitForVoters([...HOSTS.slice(1), REPLACEMENT]);
  });

  it('re-adds a host that lost its disk, under another id', async () => {
    const host = HOSTS[1]!;
    const previousId = await readMemberId(host);
    await processes.get(host)!.stop('SIGKILL');
    rmSync(join(folder, host), {recursive: true});
    start(host, false);
    let id = previousId;
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += POLL_MS) {
      id = await readMemberId(host);
      if (id !== undefined && id !== previousId) break;
      await sleep(POLL_MS);
    }
    assert.notEqual(id, previousId);
    await waitForVoters([...HOSTS.slice(1), REPLACEMENT]);
  });

  it('removes a leader that shuts down after another host has joined', async () => {
    const before = [...HOSTS.slice(1), REPLACEMENT, ADDITIONAL];
    start(ADDITIONAL, false);
    await waitForVoters(before);
    const status = await client.callLeader(async (api, signal) => {
      await api.declarations.current.query(undefined, {signal});
      return api.group.status.query(undefined, {signal});
    });
    assert.ok(status.ok);
    const {leaderId, members} = status.value;
    const leader = members.find(({id}) => id === leaderId)!.address.host;
    await processes.get(leader)!.stop('SIGTERM');
    await waitForVoters(before.filter(host => host !== leader));
  });

  it('publishes the highest version through the leader', async () => {
    const document = {version: 7, digest: 'd', text: '{}'};
    const published = await client.callLeader((api, signal) =>
      api.publication.publish.mutate(document, {signal}),
    );
    assert.ok(published.ok, published.ok ? '' : published.error.message);
    const read = await client.callLeader((api, signal) =>
      api.publication.read.query(undefined, {signal}),
    );
    assert.deepEqual(read.ok && read.value, document);
  });
});
