import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {rpcBuilder, serveRpc} from '@vanillamux/rpc';
import {Deferred, formatAddress, sleep, type Address} from '@vanillamux/shared';
import {ControlLinks} from '../src/link/control_links.js';
import type {LinkListener} from '../src/link/link_listener.js';

/** After which a test has failed whose control host was not polled. */
const TEST_TIMEOUT_MS = 5_000;
/** Keeps answers from following each other at once. */
const POLL_MS = 10;

const servers: Server[] = [];
const cleanups: Array<() => void> = [];

/** What a control host answers to a poll. */
interface Answer {
  readonly isCurrent: boolean;
  readonly members: readonly Address[];
}

/** Starts a control host; `answer` is asked at each poll. */
async function startControlHost(answer: () => Answer): Promise<Address> {
  const {procedure, router} = rpcBuilder;
  const wait = procedure
    .input((input: unknown) => input)
    .query(async () => {
      await sleep(POLL_MS);
      const {isCurrent, members} = answer();
      return {
        registryId: 'r',
        position: 0,
        reports: [],
        version: -1,
        peersVersion: 0,
        isCurrent,
        control: members.map(address => ({address, failureDomain: 'fd-a'})),
      };
    });
  const server = createServer();
  cleanups.push(serveRpc(server, router({feed: router({wait})})));
  servers.push(server.listen(0, '127.0.0.1'));
  await once(server, 'listening');
  return {host: '127.0.0.1', port: (server.address() as AddressInfo).port};
}

/** A host that reports which control hosts have answered and which have left. */
function startLinks(seeds: readonly Address[]): {
  answered(address: Address): Promise<void>;
  left(address: Address): Promise<void>;
} {
  const waits = new Map<string, Deferred<void>>();
  const waitOf = (key: string): Deferred<void> => {
    const wait = waits.get(key) ?? new Deferred<void>();
    waits.set(key, wait);
    return wait;
  };
  const listener = {
    version: -1,
    evacuationRevision: 0,
    knownBackends: {},
    onReports: ({from}: {from: string}) => waitOf(`answered ${from}`).resolve(),
    onControlHostLeft: (host: string) => waitOf(`left ${host}`).resolve(),
    onContact: () => undefined,
  } as unknown as LinkListener;
  const entry = {
    id: 'entry-1',
    failureDomain: 'fd-a',
    address: {host: '127.0.0.1', port: 1},
  };
  const links = new ControlLinks({entry, seeds, listener});
  cleanups.push(() => links.stop());
  links.start();
  return {
    answered: address => waitOf(`answered ${formatAddress(address)}`).promise,
    left: address => waitOf(`left ${formatAddress(address)}`).promise,
  };
}

describe('ControlLinks', () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0).reverse()) cleanup();
    for (const server of servers.splice(0)) {
      server.close();
      server.closeAllConnections();
    }
  });

  for (const isCurrent of [true, false]) {
    const leader = isCurrent ? 'a leader' : 'no leader yet';
    it(
      `polls the members that a seed names with ${leader}`,
      {timeout: TEST_TIMEOUT_MS},
      async () => {
        const members: Address[] = [];
        const answer = (): Answer => ({isCurrent, members});
        for (let count = 0; count < 3; count++)
          members.push(await startControlHost(answer));
        const links = startLinks(members.slice(0, 1));
        await Promise.all(members.map(member => links.answered(member)));
      },
    );
  }

  it(
    'drops a member that was remembered and has left',
    {timeout: TEST_TIMEOUT_MS},
    async () => {
      const members: Address[] = [];
      let isCurrent = false;
      const answer = (): Answer => ({
        isCurrent,
        members: isCurrent ? members.slice(0, 1) : members,
      });
      for (let count = 0; count < 2; count++)
        members.push(await startControlHost(answer));
      const links = startLinks(members.slice(0, 1));
      await links.answered(members[1]!);
      isCurrent = true;
      await links.left(members[1]!);
    },
  );

  it(
    'opens no link for a control host without a leader later on',
    {timeout: TEST_TIMEOUT_MS},
    async () => {
      const [seed, member] = [[], []] as [Address[], Address[]];
      let isLeaderLost = false;
      let pollsWithoutLeader = 0;
      const polledWithoutLeader = new Deferred<void>();
      const answer = (): Answer => {
        if (!isLeaderLost) return {isCurrent: true, members: seed};
        if (++pollsWithoutLeader > 2) polledWithoutLeader.resolve();
        return {isCurrent: false, members: [...seed, ...member]};
      };
      let memberPolls = 0;
      seed.push(await startControlHost(answer));
      member.push(
        await startControlHost(() => {
          memberPolls++;
          return {isCurrent: false, members: []};
        }),
      );
      const links = startLinks(seed);
      await links.answered(seed[0]!);
      isLeaderLost = true;
      await polledWithoutLeader.promise;
      assert.equal(memberPolls, 0);
    },
  );
});
