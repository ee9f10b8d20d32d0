import {randomUUID} from 'node:crypto';
import {mkdtempSync, openSync, fdatasyncSync, rmSync, writeSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {loadDeclarations, type OperatorSession} from '@vanillamux/cli';
import type {EntryStatus} from '@vanillamux/entry';
import {Fleet, waitUntilServing, type FleetHost} from '@vanillamux/fleet';
import {monotonicMs, sleep} from '@vanillamux/shared';
import {percentile} from './percentile.js';
import {printFigures, type Figure} from './print_figures.js';
import {readProcessUsage} from './process_usage.js';

const DECLARATIONS = 'examples/quickstart';
const SEQUENTIAL_WRITES = 300;
const WRITERS = 64;
const WRITES_PER_WRITER = 50;
const FAILOVERS = 8;
const IDLE_SECONDS = 5;
const SLOW_SYNC_MS = 2;
const CATCH_UP_COMMANDS = 10_000;
const KIB = 1_024;
const MIB = KIB * KIB;

/** Measures a control group of processes, without and with a slow disk. */
export async function measureControl(): Promise<void> {
  for (const syncDelayMs of [0, SLOW_SYNC_MS]) {
    const title = syncDelayMs
      ? `Control group, ${syncDelayMs} ms added to each sync`
      : 'Control group';
    printFigures(title, await measureControlGroup(syncDelayMs));
  }
}

async function measureControlGroup(syncDelayMs: number): Promise<Figure[]> {
  const folder = mkdtempSync(join(tmpdir(), 'vmux-measure-'));
  const fleet = await Fleet.create({
    folder,
    failureDomains: ['fd-a', 'fd-b', 'fd-c'],
    // The relays count bytes.
    hasControlRelays: true,
    controlSettings: {syncDelayMs},
  });
  fleet.start();
  const session = fleet.openSession('measure');
  const serving = await waitUntilServing(fleet, session, DECLARATIONS);
  if (!serving.ok) throw serving.error;
  const figures = [
    ...(await measureIdle(fleet)),
    ...(await measureCommits(fleet, session, syncDelayMs)),
    ...(await measureDeclarationRollout(session)),
    ...(syncDelayMs === 0 ? await measureCatchUp(fleet, session) : []),
    ...(syncDelayMs === 0 ? await measureFailover(fleet, session) : []),
  ];
  session.close();
  await fleet.stop();
  rmSync(folder, {recursive: true});
  return figures;
}

async function measureIdle(fleet: Fleet): Promise<Figure[]> {
  const readUsage = (hosts: readonly FleetHost[]) =>
    hosts.map(({process}) => readProcessUsage(process.pid!));
  const countRelayedBytes = () =>
    fleet.controlHosts.reduce(
      (sum, {relay}) => sum + (relay?.forwardedBytes ?? 0),
      0,
    );
  await sleep(1_000);
  const [controlUsage, entryUsage, bytesBefore] = [
    readUsage(fleet.controlHosts),
    readUsage(fleet.entryHosts),
    countRelayedBytes(),
  ];
  await sleep(IDLE_SECONDS * 1_000);
  const maxCpuPercent = (
    hosts: readonly FleetHost[],
    earlier: ReturnType<typeof readUsage>,
  ): number =>
    Math.max(
      ...readUsage(hosts).map(
        ({cpuSeconds}, index) =>
          ((cpuSeconds - earlier[index]!.cpuSeconds) / IDLE_SECONDS) * 100,
      ),
    );
  const maxResidentMib = (hosts: readonly FleetHost[]): number =>
    Math.max(...readUsage(hosts).map(({residentBytes}) => residentBytes)) / MIB;
  return [
    {
      label: 'idle control host, most processor time',
      value: maxCpuPercent(fleet.controlHosts, controlUsage),
      unit: '% of a core',
    },
    {
      label: 'idle entry host, most processor time',
      value: maxCpuPercent(fleet.entryHosts, entryUsage),
      unit: '% of a core',
    },
    {
      label: 'idle, bytes to and from all control hosts',
      value: (countRelayedBytes() - bytesBefore) / IDLE_SECONDS / KIB,
      unit: 'KB/s',
    },
    {
      label: 'control host, memory',
      value: maxResidentMib(fleet.controlHosts),
      unit: 'MiB',
    },
    {
      label: 'entry host, memory',
      value: maxResidentMib(fleet.entryHosts),
      unit: 'MiB',
    },
  ];
}

async function measureCommits(
  fleet: Fleet,
  session: OperatorSession,
  syncDelayMs: number,
): Promise<Figure[]> {
  const syncTimes = await measureTimes(
    SEQUENTIAL_WRITES,
    createSyncProbe(fleet.options.folder),
  );
  const callTimes = await measureTimes(SEQUENTIAL_WRITES, async () => {
    await session.control.callLeader((api, signal) =>
      api.group.formation.query(undefined, {signal}),
    );
  });
  const commitTimes = await measureTimes(SEQUENTIAL_WRITES, () =>
    commit(session),
  );
  const syncMs = percentile(syncTimes, 0.5) + syncDelayMs;
  const callMs = percentile(callTimes, 0.5);
  const commitMs = percentile(commitTimes, 0.5);
  const before = await readLogStatus(session);
  const {pid} = (await findLeader(fleet, session)).process;
  const leaderCpuSecondsBefore = readProcessUsage(pid!).cpuSeconds;
  const startMs = monotonicMs();
  await Promise.all(
    Array.from({length: WRITERS}, async () => {
      for (let count = 0; count < WRITES_PER_WRITER; count++) {
        await commit(session);
      }
    }),
  );
  const seconds = (monotonicMs() - startMs) / 1_000;
  const after = await readLogStatus(session);
  const leaderCpuSeconds =
    readProcessUsage(pid!).cpuSeconds - leaderCpuSecondsBefore;
  const commits = WRITERS * WRITES_PER_WRITER;
  return [
    {label: 'raw sync, p50', value: syncMs, unit: 'ms'},
    {label: 'one call, p50', value: callMs, unit: 'ms'},
    {label: 'one writer, commit p50', value: commitMs, unit: 'ms'},
    {
      label: 'one writer, commit over two calls and a sync on each side',
      value: commitMs / (2 * callMs + 2 * syncMs),
      unit: 'ratio',
    },
    {
      label:
        "one writer, commit less the writer's own call, over a sync on each side and one call",
      value: (commitMs - callMs) / (callMs + 2 * syncMs),
      unit: 'ratio',
    },
    {
      label: `${WRITERS} writers, commits`,
      value: Math.round(commits / seconds),
      unit: '1/s',
    },
    {
      label: `${WRITERS} writers, commits per sync of the leader`,
      value: commits / (after.syncs - before.syncs),
      unit: 'commits',
    },
    {
      label: 'processor time of the leader per commit',
      value: (leaderCpuSeconds / commits) * 1_000,
      unit: 'ms',
    },
  ];
}

/** Creates a probe that writes and syncs a record-sized block beside the log. */
function createSyncProbe(folder: string): () => Promise<void> {
  const file = openSync(join(folder, 'probe'), 'w');
  const block = Buffer.alloc(512);
  return async () => {
    writeSync(file, block);
    fdatasyncSync(file);
  };
}

async function commit(session: OperatorSession): Promise<void> {
  const key = randomUUID();
  const result = await session.control.callLeader((api, signal) =>
    api.register.reserve.mutate(
      {
        workspace: 'measure',
        service: 'measure',
        key,
        digest: key,
        requestId: key,
        entry: 'measure',
        leaseMs: 600_000,
        retentionMs: 600_000,
      },
      {signal},
    ),
  );
  if (!result.ok) throw result.error;
}

async function readLogStatus(
  session: OperatorSession,
): Promise<{syncs: number}> {
  const status = await session.control.callLeader(async (api, signal) => {
    await api.declarations.current.query(undefined, {signal});
    return api.group.status.query(undefined, {signal});
  });
  if (!status.ok) throw status.error;
  return status.value.log;
}

/** Measures the time from declaring until every entry host has the version. */
async function measureDeclarationRollout(
  session: OperatorSession,
): Promise<Figure[]> {
  const loaded = await loadDeclarations(DECLARATIONS);
  if (!loaded.ok) throw loaded.error;
  const times: number[] = [];
  for (let round = 0; round < 20; round++) {
    const current = await session.control.callLeader((api, signal) =>
      api.declarations.current.query(undefined, {signal}),
    );
    if (!current.ok) throw current.error;
    const startMs = monotonicMs();
    const declared = await session.control.callLeader((api, signal) =>
      api.declarations.declare.mutate(
        {
          commandId: randomUUID(),
          expectedVersion: current.value.version,
          document: loaded.value,
          operator: 'measure',
        },
        {signal},
      ),
    );
    if (!declared.ok) throw declared.error;
    const {version} = declared.value;
    while (!(await isInForceEverywhere(session, version))) await sleep(1);
    times.push(monotonicMs() - startMs);
  }
  return [
    {
      label: 'declared to in force on every entry host, p50',
      value: percentile(times, 0.5),
      unit: 'ms',
    },
    {
      label: 'declared to in force on every entry host, worst of 20',
      value: percentile(times, 1),
      unit: 'ms',
    },
  ];
}

async function isInForceEverywhere(
  session: OperatorSession,
  version: number,
): Promise<boolean> {
  const responses = await session.callEntryHosts<EntryStatus>((api, signal) =>
    api.status.query(undefined, {signal}),
  );
  return responses.every(
    ({result}) => result.ok && result.value.version >= version,
  );
}

/** Measures how long a restarted host takes to catch up on the log. */
async function measureCatchUp(
  fleet: Fleet,
  session: OperatorSession,
): Promise<Figure[]> {
  const leader = await findLeader(fleet, session);
  const stoppedHost = fleet.controlHosts.find(({id}) => id !== leader.id)!;
  await stoppedHost.process.stop('SIGKILL');
  await Promise.all(
    Array.from({length: WRITERS}, async (_, writer) => {
      for (let at = writer; at < CATCH_UP_COMMANDS; at += WRITERS) {
        await commit(session);
      }
    }),
  );
  const {lastIndex} = (await readStatus(session))!;
  const startMs = monotonicMs();
  stoppedHost.process.start();
  for (;;) {
    const status = await readStatus(session);
    const member = status?.members.find(
      ({hostId, matchIndex}) =>
        hostId === stoppedHost.id && (matchIndex ?? 0) >= lastIndex,
    );
    if (member) break;
    await sleep(20);
  }
  return [
    {
      label: `start and catch up ${CATCH_UP_COMMANDS} commands`,
      value: monotonicMs() - startMs,
      unit: 'ms',
    },
  ];
}

async function measureFailover(
  fleet: Fleet,
  session: OperatorSession,
): Promise<Figure[]> {
  const times: number[] = [];
  for (let round = 0; round < FAILOVERS; round++) {
    const leader = await findLeader(fleet, session);
    await commit(session);
    const startMs = monotonicMs();
    await leader.process.stop('SIGKILL');
    await commit(session);
    times.push(monotonicMs() - startMs);
    leader.process.start();
    await sleep(1_500);
  }
  return [
    {
      label: 'kill of the leader to the next commit, p50',
      value: percentile(times, 0.5),
      unit: 'ms',
    },
    {
      label: `kill of the leader to the next commit, worst of ${FAILOVERS}`,
      value: percentile(times, 1),
      unit: 'ms',
    },
  ];
}

async function findLeader(
  fleet: Fleet,
  session: OperatorSession,
): Promise<FleetHost> {
  const status = await readStatus(session);
  const id = status?.selfId.split('/')[0];
  return fleet.controlHosts.find(host => host.id === id)!;
}

async function readStatus(session: OperatorSession) {
  const status = await session.control.callLeader(async (api, signal) => {
    await api.declarations.current.query(undefined, {signal});
    return api.group.status.query(undefined, {signal});
  });
  return status.ok ? status.value : undefined;
}

async function measureTimes(
  count: number,
  action: () => Promise<void>,
): Promise<number[]> {
  const times: number[] = [];
  for (let round = 0; round < count; round++) {
    const startMs = monotonicMs();
    await action();
    times.push(monotonicMs() - startMs);
  }
  return times;
}
