import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MemberRole, RaftRole} from '@vanillamux/consensus';
import {ErrorCodes, sleep, succeed, type Result} from '@vanillamux/shared';
import {CommandLevel} from '../src/command_level.js';
import type {ControlHost} from '../src/control_host.js';
import {
  ControlState,
  EvacuationAction,
  EvacuationVerdict,
  Evacuator,
  type EvacuationAnswer,
} from '../src/index.js';
import type {LeaderCaller} from '../src/leader_caller.js';
import type {RevisedOrder} from '../src/revised_order.js';

const {Begin, Finish} = EvacuationAction;
const {Changed, Unchanged, Outdated, LimitReached} = EvacuationVerdict;
const ORDER = {failureDomain: 'fd-a', action: Finish};
const EARLIER_REVISION = 3;
const NEWEST_REVISION = 5;
/** Longer than what remains of an order that was read as late as is allowed. */
const SLOW_ANSWER_MS = 100;
const LATE_UNREAD_MS = 600;

/** Control host that is the leader of a group of one. */
class FakeHost {
  readonly stateMachine = new ControlState();
  readonly commands: unknown[] = [];
  readonly self = {id: 'control-1', commandLevel: CommandLevel.Evacuate};
  readonly settings = {id: 'control-1'};
  readonly node = {
    status: () => ({
      role: RaftRole.Leader,
      members: [
        {
          id: 'control-1',
          role: MemberRole.Voter,
          commandLevel: CommandLevel.Evacuate,
        },
      ],
    }),
    propose: async (command: string) => {
      this.commands.push(JSON.parse(command));
      return succeed(this.stateMachine.apply(command));
    },
    confirmByQuorum: async () => succeed(undefined),
  };
}

/** Leader that gives the answers of a test to forwarded orders. */
class FakeLeader {
  readonly orders: RevisedOrder[] = [];

  constructor(
    private readonly answers: ReadonlyArray<
      () => Promise<Result<EvacuationAnswer>>
    >,
  ) {}

  async run(
    _operation: unknown,
    _runLocally: unknown,
    call: (api: unknown, signal: AbortSignal) => Promise<unknown>,
  ): Promise<Result<EvacuationAnswer>> {
    const mutate = async (order: RevisedOrder): Promise<void> => {
      this.orders.push(order);
    };
    await call({evacuation: {order: {mutate}}}, new AbortController().signal);
    return this.answers[this.orders.length - 1]!();
  }
}

type AnswerName = 'outdated' | 'outdated, late' | 'outdated, caller leaves';

interface Case {
  readonly name: string;
  readonly answers: ReadonlyArray<AnswerName | EvacuationVerdict>;
  readonly hasLeft?: boolean;
  readonly unreadMs?: number;
  /** Revisions that the orders to the leader expect. */
  readonly expected: readonly number[];
  readonly outcome: EvacuationVerdict | ErrorCodes;
}

const CASES: readonly Case[] = [
  {
    name: 'a caller that waits',
    answers: [Changed],
    expected: [EARLIER_REVISION],
    outcome: Changed,
  },
  {
    name: 'a caller that sends an order again whose answer was lost',
    answers: [Unchanged],
    expected: [EARLIER_REVISION],
    outcome: Unchanged,
  },
  {
    name: 'a caller that waits while orders for other domains come first',
    answers: ['outdated', 'outdated', 'outdated', Changed],
    expected: [
      EARLIER_REVISION,
      NEWEST_REVISION,
      NEWEST_REVISION,
      NEWEST_REVISION,
    ],
    outcome: Changed,
  },
  {
    name: 'a caller that has left before the order was read',
    answers: [],
    hasLeft: true,
    expected: [],
    outcome: ErrorCodes.Timeout,
  },
  {
    name: 'a call that waited too long to be read',
    answers: [],
    unreadMs: 900,
    expected: [],
    outcome: ErrorCodes.Timeout,
  },
  {
    name: 'a caller that leaves while the leader decides',
    answers: ['outdated, caller leaves'],
    expected: [EARLIER_REVISION],
    outcome: ErrorCodes.Timeout,
  },
  {
    name: 'an answer of the leader that comes too late for the caller',
    answers: ['outdated, late'],
    unreadMs: LATE_UNREAD_MS,
    expected: [EARLIER_REVISION],
    outcome: ErrorCodes.Timeout,
  },
  {
    name: 'a caller for whom there is no room',
    answers: [LimitReached],
    expected: [EARLIER_REVISION],
    outcome: LimitReached,
  },
];

// An outdated order used to be tried again for callers that had given up.
describe('an evacuation order that another host decides', () => {
  for (const {name, answers, expected, outcome, ...state} of CASES) {
    it(`ends with ${outcome} for ${name}`, async () => {
      const caller = new AbortController();
      if (state.hasLeft) caller.abort();
      const leader = new FakeLeader(
        answers.map(answer => async () => {
          if (answer === 'outdated, caller leaves') caller.abort();
          if (answer === 'outdated, late') await sleep(SLOW_ANSWER_MS);
          const isOutdated = answer.startsWith('outdated');
          const verdict = isOutdated ? Outdated : (answer as EvacuationVerdict);
          return succeed({verdict, revision: NEWEST_REVISION});
        }),
      );
      const host = new FakeHost();
      const view = {revision: EARLIER_REVISION, failureDomains: ['fd-a']};
      host.stateMachine.evacuation.replace(view);
      const evacuator = new Evacuator(
        host as unknown as ControlHost,
        leader as unknown as LeaderCaller,
      );
      const {signal} = caller;
      const {unreadMs = 0} = state;
      const result = await evacuator.order(ORDER, {signal, unreadMs});
      assert.deepEqual(
        leader.orders,
        expected.map(expectedRevision => ({...ORDER, expectedRevision})),
      );
      assert.equal(
        result.ok ? result.value.verdict : result.error.code,
        outcome,
      );
    });
  }
});

/** Order with the revision that it expects, and its verdict. */
type Decision = readonly [EvacuationAction, number, EvacuationVerdict];

const DECISIONS: ReadonlyArray<{
  readonly name: string;
  readonly orders: readonly Decision[];
  readonly emptied: readonly string[];
}> = [
  {
    name: 'one that changes nothing',
    orders: [
      [Begin, 0, Changed],
      [Begin, 1, Unchanged],
      [Finish, 1, Outdated],
    ],
    emptied: ['fd-a'],
  },
  {
    name: 'two pairs',
    orders: [
      [Begin, 0, Changed],
      [Finish, 1, Changed],
      [Begin, 2, Changed],
      [Finish, 1, Outdated],
    ],
    emptied: ['fd-a'],
  },
  {
    name: 'taking back what was never emptied',
    orders: [
      [Finish, 0, Unchanged],
      [Begin, 0, Outdated],
    ],
    emptied: [],
  },
];

describe('an evacuation order that the leader decides', () => {
  for (const {name, orders, emptied} of DECISIONS) {
    it(`is void after ${name}`, async () => {
      const host = new FakeHost();
      const evacuator = new Evacuator(
        host as unknown as ControlHost,
        new FakeLeader([]) as unknown as LeaderCaller,
      );
      for (const [action, expectedRevision, verdict] of orders) {
        const order = {failureDomain: 'fd-a', action, expectedRevision};
        const result = await evacuator.orderAsLeader(order);
        assert.equal(
          result.ok ? result.value.verdict : result.error.message,
          verdict,
        );
      }
      assert.deepEqual(evacuator.known.failureDomains, emptied);
    });
  }

  // Members of the build before apply the same command.
  it('is stored in the fields that it always had, also if it changes nothing', async () => {
    const host = new FakeHost();
    const evacuator = new Evacuator(
      host as unknown as ControlHost,
      new FakeLeader([]) as unknown as LeaderCaller,
    );
    for (const expectedRevision of [0, 1]) {
      const order = {failureDomain: 'fd-a', action: Begin, expectedRevision};
      assert.ok((await evacuator.orderAsLeader(order)).ok);
    }
    assert.deepEqual(
      host.commands.map(command => ({...(command as object), atMs: 0})),
      [1, 2].map(revision => ({
        kind: 'evacuate',
        view: {revision, failureDomains: ['fd-a']},
        atMs: 0,
      })),
    );
  });
});
