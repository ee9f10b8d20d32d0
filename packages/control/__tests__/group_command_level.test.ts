import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {MemberRole, type Member} from '@vanillamux/consensus';
import {rpcBuilder, serveRpc} from '@vanillamux/rpc';
import {CommandLevel} from '../src/index.js';
import type {ControlHost} from '../src/control_host.js';
import {GroupCommandLevel} from '../src/group_command_level.js';

const {Base, Evacuate} = CommandLevel;
const HOST = '127.0.0.1';
/** Nothing listens there. */
const CLOSED_PORT = 1;

interface OtherMember {
  /** Level with which it joined; absent for an earlier build. */
  readonly joined?: CommandLevel;
  /** Level that its process states now; `down` without a process. */
  readonly states: CommandLevel | 'earlier build' | 'down';
  readonly isReplaced?: boolean;
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly others: readonly OtherMember[];
  readonly isReached: boolean;
}> = [
  {name: 'a group of one', others: [], isReached: true},
  {
    name: 'members that joined so',
    others: [
      {joined: Evacuate, states: Evacuate},
      {joined: Evacuate, states: 'down'},
    ],
    isReached: true,
  },
  {
    name: 'a member that was updated in place',
    others: [{states: Evacuate}],
    isReached: true,
  },
  {
    name: 'a member of an earlier build',
    others: [{joined: Evacuate, states: Evacuate}, {states: 'earlier build'}],
    isReached: false,
  },
  {
    name: 'a member that went back to an earlier build',
    others: [{joined: Evacuate, states: 'earlier build'}],
    isReached: false,
  },
  {
    name: 'a member of which nothing is known',
    others: [{states: 'down'}],
    isReached: false,
  },
  {
    name: 'a member of a lower level',
    others: [{joined: Base, states: Base}],
    isReached: false,
  },
  {
    name: 'another member at the address of one that is lost',
    others: [{joined: Evacuate, states: 'earlier build', isReplaced: true}],
    isReached: true,
  },
];

describe('GroupCommandLevel', () => {
  const cleanups: Array<() => void> = [];

  afterEach(() => {
    for (const cleanUp of cleanups.splice(0)) cleanUp();
  });

  /** Serves the status of a member; returns the port. */
  async function serve(member: object): Promise<number> {
    const formation = rpcBuilder.procedure.query(() => ({member}));
    const router = rpcBuilder.router({group: rpcBuilder.router({formation})});
    const server: Server = createServer();
    const close = serveRpc(server, router);
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    cleanups.push(close, () => server.close());
    return (server.address() as AddressInfo).port;
  }

  async function createOther(
    {joined, states, isReplaced}: OtherMember,
    at: number,
  ): Promise<Member> {
    const id = `m${at}/1`;
    const commandLevel = states === 'earlier build' ? undefined : states;
    const stated = {id: isReplaced ? `m${at}/2` : id, commandLevel};
    const port = states === 'down' ? CLOSED_PORT : await serve(stated);
    return createMember({id, port, commandLevel: joined});
  }

  for (const {name, others, isReached} of CASES) {
    it(`is ${isReached ? '' : 'not '}reached with ${name}`, async () => {
      const self = createMember({
        id: 'self/1',
        port: CLOSED_PORT,
        commandLevel: Evacuate,
      });
      const members = [self, ...(await Promise.all(others.map(createOther)))];
      const node = {status: () => ({members})};
      const host = {self, node, settings: {id: 'self'}};
      const level = new GroupCommandLevel(host as unknown as ControlHost);
      assert.equal((await level.require(Evacuate)).ok, isReached);
    });
  }
});

function createMember({
  id,
  port,
  commandLevel,
}: Pick<Member, 'id' | 'commandLevel'> & {readonly port: number}): Member {
  return {
    id,
    hostId: id,
    failureDomain: 'fd',
    address: {host: HOST, port},
    role: MemberRole.Voter,
    commandLevel,
  };
}
