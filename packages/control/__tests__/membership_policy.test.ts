import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  MemberRole,
  RaftRole,
  type GroupStatus,
  type Member,
  type MemberStatus,
} from '@vanillamux/consensus';
import type {JoinRequest} from '../src/join_request.js';
import {MembershipPolicy} from '../src/membership_policy.js';

const LAST_INDEX = 100;
const REPLACE_AFTER_MS = 30_000;
const LONG_SILENCE_MS = 60_000;

type Traits = Partial<
  Pick<MemberStatus, 'matchIndex' | 'silentMs' | 'groupSize'>
> & {
  readonly isReplaced?: boolean;
  readonly isLearner?: boolean;
};

/** Creates a member; the part of its id before the slash is its host. */
function member(id: string, traits: Traits = {}): MemberStatus {
  const {isLearner = false, ...status} = traits;
  return {
    id,
    hostId: id.split('/')[0]!,
    failureDomain: 'fd',
    address: {host: '127.0.0.1', port: 1},
    role: isLearner ? MemberRole.Learner : MemberRole.Voter,
    matchIndex: LAST_INDEX,
    silentMs: 0,
    ...status,
  };
}

function statusOf(members: readonly MemberStatus[]): GroupStatus {
  return {
    selfId: 'a/1',
    role: RaftRole.Leader,
    term: 2,
    leaderId: 'a/1',
    commitIndex: LAST_INDEX,
    appliedIndex: LAST_INDEX,
    lastIndex: LAST_INDEX,
    baseIndex: 0,
    leaderSilentMs: 0,
    isCurrent: true,
    log: {records: 0, syncs: 0, bytes: 0},
    membersIndex: 1,
    members,
  };
}

function request(id: string, isFromOperator = false): JoinRequest {
  return {member: member(id), receivedMs: 0, isFromOperator};
}

/** Describes members as `+id` for a voter and `?id` for a learner. */
function describeMembers(members: readonly Member[] | undefined): string {
  if (!members) return 'no change';
  return members
    .map(({id, role}) => (role === MemberRole.Voter ? '+' : '?') + id)
    .join(' ');
}

interface Case {
  readonly name: string;
  readonly members: readonly MemberStatus[];
  readonly requests?: readonly JoinRequest[];
  /** Members whose hosts stop. */
  readonly leaving?: readonly string[];
  readonly discovered?: string;
  readonly declared?: string;
}

const lostDisk = {isReplaced: true, silentMs: 150};
const dead = {silentMs: LONG_SILENCE_MS};
const newLearner = {isLearner: true, matchIndex: 0};
const readyLearner = {isLearner: true};

const CASES: readonly Case[] = [
  {
    name: 'leaves a sound group as it is',
    members: [member('a/1'), member('b/1'), member('c/1')],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'removes an identity whose disk is lost before its host joins',
    members: [member('a/1'), member('b/1'), member('c/1', lostDisk)],
    requests: [request('c/2')],
    discovered: '+a/1 +b/1',
    declared: '+a/1 +b/1',
  },
  {
    name: 'adds a host whose former identity has been removed',
    members: [member('a/1'), member('b/1')],
    requests: [request('c/2')],
    discovered: '+a/1 +b/1 ?c/2',
    declared: '+a/1 +b/1 ?c/2',
  },
  {
    name: 'does not promote a learner that has not replied',
    members: [member('a/1'), member('b/1'), member('c/2', newLearner)],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'does not promote a learner that lags',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/2', {isLearner: true, matchIndex: LAST_INDEX - 1}),
    ],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'promotes a learner that has caught up',
    members: [member('a/1'), member('b/1'), member('c/2', readyLearner)],
    discovered: '+a/1 +b/1 +c/2',
    declared: '+a/1 +b/1 +c/2',
  },
  {
    name: 'promotes a learner before it removes a silent voter, which may return',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1', {silentMs: 2_100}),
      member('d/1', readyLearner),
    ],
    discovered: '+a/1 +b/1 +c/1 +d/1',
    declared: '+a/1 +b/1 +c/1 +d/1',
  },
  {
    name: 'removes a silent voter for the learner that was promoted',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1', dead),
      member('d/1', {groupSize: 3}),
    ],
    discovered: '+a/1 +b/1 +d/1',
    declared: '+a/1 +b/1 +d/1',
  },
  {
    name: 'removes a silent voter out of an even number before it promotes',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1', dead),
      member('d/1'),
      member('e/1', readyLearner),
    ],
    discovered: '+a/1 +b/1 +d/1 ?e/1',
    declared: '+a/1 +b/1 +d/1 ?e/1',
  },
  {
    name: 'promotes a learner beside a voter that was silent for a second',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1', {silentMs: 1_000}),
      member('d/1', readyLearner),
    ],
    discovered: '+a/1 +b/1 +c/1 +d/1',
    declared: '+a/1 +b/1 +c/1 +d/1',
  },
  {
    name: 'keeps a silent voter that nothing replaces',
    members: [member('a/1'), member('b/1'), member('c/1', dead)],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'removes a silent voter that the group has beyond its size',
    members: [member('a/1'), member('b/1'), member('c/1', dead), member('d/1')],
    discovered: '+a/1 +b/1 +d/1',
    declared: '+a/1 +b/1 +d/1',
  },
  {
    name: 'removes a host that stops out of an even number of voters',
    members: [member('a/1'), member('b/1'), member('c/1'), member('d/1')],
    leaving: ['c/1'],
    discovered: '+a/1 +b/1 +d/1',
    declared: 'no change',
  },
  {
    name: 'keeps a host that stops out of an odd number of voters',
    members: [member('a/1'), member('b/1'), member('c/1')],
    leaving: ['c/1'],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'promotes the successor of a host that stops first',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1'),
      member('d/1', readyLearner),
    ],
    leaving: ['c/1'],
    discovered: '+a/1 +b/1 +c/1 +d/1',
    declared: '+a/1 +b/1 +c/1 +d/1',
  },
  {
    name: 'removes one of two hosts that stop',
    members: [member('a/1'), member('b/1'), member('c/1'), member('d/1')],
    leaving: ['b/1', 'c/1'],
    discovered: '+a/1 +c/1 +d/1',
    declared: 'no change',
  },
  {
    name: 'does not let a leader remove itself',
    members: [member('a/1'), member('b/1'), member('c/1'), member('d/1')],
    leaving: ['a/1'],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'does not promote a learner that stops',
    members: [member('a/1'), member('b/1'), member('c/2', readyLearner)],
    leaving: ['c/2'],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'removes a voter out of an even number after a shorter silence',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1', {silentMs: 2_100}),
      member('d/1'),
    ],
    discovered: '+a/1 +b/1 +d/1',
    declared: 'no change',
  },
  {
    name: 'keeps a voter out of an odd number after the same silence',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1', {silentMs: 2_100}),
      member('d/1'),
      member('e/1'),
    ],
    discovered: 'no change',
    declared: 'no change',
  },
  // A group that shrank to three lost its quorum with two disks.
  ...[
    {voters: 5, size: 5, isRemoved: false},
    {voters: 5, size: 6, isRemoved: false},
    {voters: 6, size: 6, isRemoved: true},
    {voters: 7, size: 7, isRemoved: false},
    {voters: 7, size: 8, isRemoved: false},
    {voters: 8, size: 8, isRemoved: true},
    {voters: 9, size: 9, isRemoved: false},
    // In the middle of a repair, and of the loss of one more.
    {voters: 4, size: 5, isRemoved: false},
    {voters: 4, size: 6, isRemoved: false},
    // With one that was lost before its successor became a voter.
    {voters: 5, size: 4, isRemoved: true},
    {voters: 6, size: 5, isRemoved: true},
    // A list of an earlier build doesn't state the size.
    {voters: 5, size: undefined, isRemoved: false},
    {voters: 6, size: undefined, isRemoved: true},
  ].map(({voters, size, isRemoved}) => {
    const ids = [...'abcdefghi'].slice(0, voters).map(host => `${host}/1`);
    const kept = isRemoved ? ids.filter(id => id !== 'c/1') : [];
    return {
      name: `${isRemoved ? 'removes' : 'keeps'} one of two silent voters of ${voters}, with a full size of ${size}`,
      members: ids.map((id, at) =>
        member(id, {groupSize: size, ...(at === 2 || at === 3 ? dead : {})}),
      ),
      discovered: kept.map(id => `+${id}`).join(' ') || 'no change',
    };
  }),
  {
    name: 'keeps a host that stops where a repair is not over',
    members: ['a/1', 'b/1', 'c/1', 'd/1'].map(id => member(id, {groupSize: 5})),
    leaving: ['c/1'],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'removes a silent learner only where it can ask to join again',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1'),
      member('d/1', {...newLearner, ...dead}),
    ],
    discovered: '+a/1 +b/1 +c/1',
    declared: 'no change',
  },
  {
    name: 'removes a learner whose disk is lost',
    members: [
      member('a/1'),
      member('b/1'),
      member('c/1'),
      member('d/1', {...newLearner, ...lostDisk}),
    ],
    discovered: '+a/1 +b/1 +c/1',
    declared: '+a/1 +b/1 +c/1',
  },
  {
    name: 'adds a further host only to a discovered group',
    members: [member('a/1'), member('b/1'), member('c/1')],
    requests: [request('d/1')],
    discovered: '+a/1 +b/1 +c/1 ?d/1',
    declared: 'no change',
  },
  {
    name: 'adds a further host that an operator asks for',
    members: [member('a/1'), member('b/1'), member('c/1')],
    requests: [request('d/1', true)],
    discovered: '+a/1 +b/1 +c/1 ?d/1',
    declared: '+a/1 +b/1 +c/1 ?d/1',
  },
  {
    name: 'adds a standby in place of a dead voter',
    members: [member('a/1'), member('b/1'), member('c/1', dead)],
    requests: [request('d/1')],
    discovered: '+a/1 +b/1 +c/1 ?d/1',
    declared: '+a/1 +b/1 +c/1 ?d/1',
  },
  {
    name: 'adds no host that is a member',
    members: [member('a/1'), member('b/1'), member('c/1')],
    requests: [request('c/1')],
    discovered: 'no change',
    declared: 'no change',
  },
  {
    name: 'adds no tenth member to a discovered group',
    members: [...'abcdefghi'].map(host => member(`${host}/1`)),
    requests: [request('j/1')],
    discovered: 'no change',
  },
  {
    name: 'adds a tenth member in place of a silent voter',
    members: [...'abcdefghi'].map(host =>
      member(`${host}/1`, host === 'c' ? dead : {}),
    ),
    requests: [request('j/1')],
    discovered: `${[...'abcdefghi'].map(host => `+${host}/1`).join(' ')} ?j/1`,
  },
  {
    name: 'promotes no tenth voter beside nine that respond',
    members: [
      ...[...'abcdefghi'].map(host => member(`${host}/1`)),
      member('j/1', readyLearner),
    ],
    discovered: 'no change',
  },
];

describe('the next change of the members', () => {
  for (const {name, members, requests = [], ...row} of CASES) {
    const {discovered, declared, leaving = []} = row;
    for (const [usesDiscovery, expected] of [
      [true, discovered],
      [false, declared],
    ] as const) {
      if (expected === undefined) continue;
      it(`${name} (${usesDiscovery ? 'discovered' : 'declared'})`, () => {
        const policy = new MembershipPolicy({
          usesDiscovery,
          declaredMembers: 3,
          replaceAfterMs: REPLACE_AFTER_MS,
        });
        const change = policy.nextChange(
          statusOf(members),
          requests,
          LAST_INDEX,
          new Set(leaving),
        );
        assert.equal(describeMembers(change?.members), expected);
      });
    }
  }

  const SIZES = [
    {
      name: 'all that respond',
      silentMs: [100, 100, 100],
      recorded: 3,
      expected: 4,
    },
    {name: 'none before all have responded', silentMs: [100, 100, 5_000]},
    {
      name: 'all but one that was lost before',
      silentMs: [100, 100, 900],
      recorded: 2,
      expected: 3,
    },
    {name: 'no smaller size', silentMs: [100, 5_000, 5_000], recorded: 4},
    {name: 'the first size', silentMs: [100, 100, 100], expected: 4},
  ];
  for (const {name, silentMs, recorded, expected} of SIZES) {
    it(`records ${name} as the size of the group`, () => {
      const policy = new MembershipPolicy({
        usesDiscovery: true,
        declaredMembers: 0,
        replaceAfterMs: REPLACE_AFTER_MS,
      });
      const others = silentMs.map((ms, at) =>
        member(`${'bcd'[at]}/1`, {silentMs: ms, groupSize: recorded}),
      );
      const status = statusOf([
        member('a/1', {groupSize: recorded}),
        ...others,
      ]);
      assert.equal(policy.sizeToRecord(status, 800), expected);
    });
  }

  const REMOVALS = [
    {name: 'a voter', size: 6, removed: 'c/1', expected: 5},
    {name: 'a learner', size: 6, removed: 'd/1', expected: 6},
    {name: 'the last voter', size: 1, removed: 'c/1', expected: 1},
    {name: 'a voter of an earlier build', removed: 'c/1'},
  ];
  for (const {name, size, removed, expected} of REMOVALS) {
    it(`has a size of ${expected} after an operator has removed ${name}`, () => {
      const policy = new MembershipPolicy({
        usesDiscovery: true,
        declaredMembers: 0,
        replaceAfterMs: REPLACE_AFTER_MS,
      });
      const members = [
        member('c/1', {groupSize: size}),
        member('d/1', {groupSize: size, isLearner: true}),
      ];
      assert.equal(policy.sizeWithout(members, removed), expected);
    });
  }

  it('repairs a lost disk without ever needing more live voters than before', () => {
    const policy = new MembershipPolicy({
      usesDiscovery: true,
      declaredMembers: 0,
      replaceAfterMs: REPLACE_AFTER_MS,
    });
    let members = [member('a/1'), member('b/1'), member('c/1', lostDisk)];
    const quorums: number[] = [];
    for (;;) {
      const voters = members.filter(({role}) => role === MemberRole.Voter);
      quorums.push(Math.floor(voters.length / 2) + 1);
      const change = policy.nextChange(
        statusOf(members),
        [request('c/2')],
        LAST_INDEX,
      );
      if (!change) break;
      // Each learner has caught up by the next change.
      members = change.members.map(({id, role}) =>
        member(id, {isLearner: role === MemberRole.Learner}),
      );
    }
    assert.equal(describeMembers(members), '+a/1 +b/1 +c/2');
    assert.deepEqual(quorums, [2, 2, 2, 2]);
  });
});
