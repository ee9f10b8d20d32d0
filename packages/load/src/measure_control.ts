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
const SINGLE_WRITES = 300;
const WRITERS = 64;
const WRITES_PER_WRITER = 50;
const FAILOVERS = 8;
const IDLE_SECONDS = 5;
const SLOW_SYNC_MS = 2;
const CATCH_UP_COMMANDS = 10_000;
const KIB = 1_024;
const MIB = KIB * KIB;

/** Measures the control group in processes, without and with a slow disk. */
export async function measureControl(): Promise<void> {
  for (const syncDelayMs of [0, SLOW_SYNC_MS]) {
    const title = syncDelayMs
      ? `Control group, ${syncDelayMs} ms added to each sync`
      : 'Control group';
    printFigures(title, await measureGroup(syncDelayMs));
  }
}

async function measureGroup(syncDelayMs: number): Promise<Figure[]> {
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
    ...(await measureInForce(session)),
    ...(syncDelayMs === 0 ? await measureCatchUp(fleet, session) : []),
    ...(syncDelayMs === 0 ? await measureFailover(fleet, session) : []),
  ];
  session.close();
  await fleet.stop();
  rmSync(folder, {recursive: true});
  return figures;
}

async function measureIdle(fleet: Fleet): Promise<Figure[]> {
  const read = (hosts: readonly FleetHost[]) =>
    hosts.map(({process}) => readProcessUsage(process.pid!));
  const bytes = () =>
    fleet.controlHosts.reduce(
      (sum, {relay}) => sum + (relay?.forwardedBytes ?? 0),
      0,
    );
  await sleep(1_000);
  const [control, entries, before] = [
    read(fleet.controlHosts),
    read(fleet.entryHosts),
    bytes(),
  ];
  await sleep(IDLE_SECONDS * 1_000);
  const share = (
    hosts: readonly FleetHost[],
    old: ReturnType<typeof read>,
  ): number =>
    Math.max(
      ...read(hosts).map(
        ({cpuSeconds}, index) =>
          ((cpuSeconds - old[index]!.cpuSeconds) / IDLE_SECONDS) * 100,
      ),
    );
  const resident = (hosts: readonly FleetHost[]): number =>
    Math.max(...read(hosts).map(({residentBytes}) => residentBytes)) / MIB;
  return [
    {
      what: 'idle control host, most processor time',
      value: share(fleet.controlHosts, control),
      unit: '% of a core',
    },
    {
      what: 'idle entry host, most processor time',
      value: share(fleet.entryHosts, entries),
      unit: '% of a core',
    },
    {
      what: 'idle, bytes to and from all control hosts',
      value: (bytes() - before) / IDLE_SECONDS / KIB,
      unit: 'KB/s',
    },
    {
      what: 'control host, memory',
      value: resident(fleet.controlHosts),
      unit: 'MiB',
    },
    {
      what: 'entry host, memory',
      value: resident(fleet.entryHosts),
      unit: 'MiB',
    },
  ];
}

async function measureCommits(
  fleet: Fleet,
  session: OperatorSession,
  syncDelayMs: number,
): Promise<Figure[]> {
  const syncTimes = await repeat(
    SINGLE_WRITES,
    createSyncProbe(fleet.options.folder),
  );
  const callTimes = await repeat(SINGLE_WRITES, async () => {
    await session.control.callLeader((api, signal) =>
      api.group.formation.query(undefined, {signal}),
    );
  });
  const commitTimes = await repeat(SINGLE_WRITES, () => commit(session));
  const syncMs = percentile(syncTimes, 0.5) + syncDelayMs;
  const callMs = percentile(callTimes, 0.5);
  const commitMs = percentile(commitTimes, 0.5);
  const before = await readLog(session);
  const {pid} = (await findLeader(fleet, session)).process;
  const usedBefore = readProcessUsage(pid!).cpuSeconds;
  const startMs = monotonicMs();
  await Promise.all(
    Array.from({length: WRITERS}, async () => {
      for (let count = 0; count < WRITES_PER_WRITER; count++) {
        await commit(session);
      }
    }),
  );
  const seconds = (monotonicMs() - startMs) / 1_000;
  const after = await readLog(session);
  const used = readProcessUsage(pid!).cpuSeconds - usedBefore;
  const commits = WRITERS * WRITES_PER_WRITER;
  return [
    {what: 'raw sync, p50', value: syncMs, unit: 'ms'},
    {what: 'one call, p50', value: callMs, unit: 'ms'},
    {what: 'one writer, commit p50', value: commitMs, unit: 'ms'},
    {
      what: 'one writer, commit over two calls and a sync on each side',
      value: commitMs / (2 * callMs + 2 * syncMs),
      unit: 'ratio',
    },
    {
      what: "one writer, commit less the writer's own call, over a sync on each side and one call",
      value: (commitMs - callMs) / (callMs + 2 * syncMs),
      unit: 'ratio',
    },
    {
      what: `${WRITERS} writers, commits`,
      value: Math.round(commits / seconds),
      unit: '1/s',
    },
    {
      what: `${WRITERS} writers, commits per sync of the leader`,
      value: commits / (after.syncs - before.syncs),
      unit: 'commits',
    },
    {
      what: 'processor time of the leader per commit',
      value: (used / commits) * 1_000,
      unit: 'ms',
    },
  ];
}

/** Writes and syncs a record-sized block beside the group's own log. */
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

async function readLog(session: OperatorSession): Promise<{syncs: number}> {
  const status = await session.control.callLeader(async (api, signal) => {
    await api.declarations.current.query(undefined, {signal});
    return api.group.status.query(undefined, {signal});
  });
  if (!status.ok) throw status.error;
  return status.value.log;
}

/** Time from a declaration's submission until every entry host has it. */
async function measureInForce(session: OperatorSession): Promise<Figure[]> {
  const loaded = await loadDeclarations(DECLARATIONS);
  if (!loaded.ok) throw loaded.error;
  const times: number[] = [];
  for (let round = 0; round < 20; round++) {
    const current = await session.control.callLeader((api, signal) =>
      api.declarations.current.query(undefined, {signal}),
    );
    if (!current.ok) throw current.error;
    const startMs = monotonicMs();
    const answer = await session.control.callLeader((api, signal) =>
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
    if (!answer.ok) throw answer.error;
    const {version} = answer.value;
    while (!(await isInForce(session, version))) await sleep(1);
    times.push(monotonicMs() - startMs);
  }
  return [
    {
      what: 'declared to in force on every entry host, p50',
      value: percentile(times, 0.5),
      unit: 'ms',
    },
    {
      what: 'declared to in force on every entry host, worst of 20',
      value: percentile(times, 1),
      unit: 'ms',
    },
  ];
}

async function isInForce(
  session: OperatorSession,
  version: number,
): Promise<boolean> {
  const answers = await session.callEntries<EntryStatus>((api, signal) =>
    api.status.query(undefined, {signal}),
  );
  return answers.every(
    ({result}) => result.ok && result.value.version >= version,
  );
}

/** Time for a host that was away during many commands to have them all. */
async function measureCatchUp(
  fleet: Fleet,
  session: OperatorSession,
): Promise<Figure[]> {
  const leader = await findLeader(fleet, session);
  const away = fleet.controlHosts.find(({id}) => id !== leader.id)!;
  await away.process.stop('SIGKILL');
  await Promise.all(
    Array.from({length: WRITERS}, async (_, writer) => {
      for (let at = writer; at < CATCH_UP_COMMANDS; at += WRITERS) {
        await commit(session);
      }
    }),
  );
  const {lastIndex} = (await readStatus(session))!;
  const startMs = monotonicMs();
  away.process.start();
  for (;;) {
    const status = await readStatus(session);
    const member = status?.members.find(
      ({hostId, matchIndex}) =>
        hostId === away.id && (matchIndex ?? 0) >= lastIndex,
    );
    if (member) break;
    await sleep(20);
  }
  return [
    {
      what: `start and catch up ${CATCH_UP_COMMANDS} commands`,
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
      what: 'kill of the leader to the next commit, p50',
      value: percentile(times, 0.5),
      unit: 'ms',
    },
    {
      what: `kill of the leader to the next commit, worst of ${FAILOVERS}`,
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

async function repeat(
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
