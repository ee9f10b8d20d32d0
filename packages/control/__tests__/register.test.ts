import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  CommandKind,
  ControlState,
  ReservationState,
  ReserveVerdict,
  SettleOutcome,
  type Command,
  type DeclareAnswer,
  type FenceAnswer,
  type ReserveAnswer,
  type SettleAnswer,
} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_203};
const LEASE_MS = 100;
const KEY = {workspace: 'w', service: 's', key: 'k'};

function run<A>(state: ControlState, command: Command): A {
  return state.apply(JSON.stringify(command)) as A;
}

function reserve(requestId: string, atMs: number, digest = 'd'): Command {
  return {
    kind: CommandKind.Reserve,
    ...KEY,
    digest,
    requestId,
    entry: 'e',
    leaseMs: LEASE_MS,
    retentionMs: 10_000,
    atMs,
  };
}

function settle(
  requestId: string,
  outcome: SettleOutcome,
  atMs: number,
  operator = '',
): Command {
  const answer =
    outcome === SettleOutcome.Done
      ? {status: 200, contentType: 'text/plain', body: requestId}
      : undefined;
  return {
    kind: CommandKind.Settle,
    ...KEY,
    requestId,
    outcome,
    answer,
    operator,
    atMs,
  };
}

describe('the at-most-once register', () => {
  it('grants a key to one request until it is known not to have run', () => {
    const steps = fc.array(
      fc.record({
        kind: fc.constantFrom(
          'reserve',
          'done',
          'not_run',
          'unknown',
          'expire',
        ),
        request: fc.nat(3),
        waitMs: fc.nat(60),
        copies: fc.integer({min: 1, max: 2}),
      }),
      {maxLength: 40},
    );
    fc.assert(
      fc.property(steps, plan => {
        let state = new ControlState();
        let atMs = 0;
        /** Requests that may send: granted and not given back since. */
        const mayHaveRun = new Set<string>();
        for (const {kind, request, waitMs, copies} of plan) {
          atMs += waitMs;
          const id = `r${request}`;
          for (let copy = 0; copy < copies; copy++) {
            if (kind === 'reserve') {
              const answer = run<ReserveAnswer>(state, reserve(id, atMs));
              if (answer.verdict === ReserveVerdict.Granted) mayHaveRun.add(id);
            } else if (kind === 'expire') {
              run(state, {kind: CommandKind.Expire, atMs});
            } else {
              const outcome = kind as SettleOutcome;
              const answer = run<SettleAnswer>(
                state,
                settle(id, outcome, atMs),
              );
              const isFree =
                outcome === SettleOutcome.NotRun &&
                answer.settled &&
                answer.state === undefined;
              if (isFree) mayHaveRun.delete(id);
            }
          }
          assert.ok(mayHaveRun.size <= 1, [...mayHaveRun].join());
          // A snapshot at any point must not change what happens next.
          const copy = new ControlState();
          copy.restore(state.snapshot());
          state = copy;
        }
      }),
      property,
    );
  });

  for (const {name, before, requestId, digest, verdict, held} of [
    {
      name: 'refuses another body under the same key',
      before: [reserve('a', 0)],
      requestId: 'b',
      digest: 'other',
      verdict: ReserveVerdict.OtherBody,
      held: undefined,
    },
    {
      name: 'says that the first request is still running',
      before: [reserve('a', 0)],
      requestId: 'b',
      digest: 'd',
      verdict: ReserveVerdict.Held,
      held: ReservationState.Running,
    },
    {
      name: 'replays the answer',
      before: [reserve('a', 0), settle('a', SettleOutcome.Done, 1)],
      requestId: 'b',
      digest: 'd',
      verdict: ReserveVerdict.Held,
      held: ReservationState.Done,
    },
    {
      name: 'keeps an overdue reservation as unknown',
      before: [
        reserve('a', 0),
        {kind: CommandKind.Expire, atMs: LEASE_MS + 1} as const,
      ],
      requestId: 'b',
      digest: 'd',
      verdict: ReserveVerdict.Held,
      held: ReservationState.Unknown,
    },
    {
      name: 'does not free an unknown outcome on the entry host’s word',
      before: [
        reserve('a', 0),
        settle('a', SettleOutcome.Unknown, 1),
        settle('a', SettleOutcome.NotRun, 2),
      ],
      requestId: 'b',
      digest: 'd',
      verdict: ReserveVerdict.Held,
      held: ReservationState.Unknown,
    },
    {
      name: 'frees an unknown outcome on an operator’s word',
      before: [
        reserve('a', 0),
        settle('a', SettleOutcome.Unknown, 1),
        settle('a', SettleOutcome.NotRun, 2, 'olga'),
      ],
      requestId: 'b',
      digest: 'd',
      verdict: ReserveVerdict.Granted,
      held: undefined,
    },
    {
      name: 'grants a repeated command of the same request again',
      before: [reserve('a', 0)],
      requestId: 'a',
      digest: 'd',
      verdict: ReserveVerdict.Granted,
      held: undefined,
    },
  ]) {
    it(name, () => {
      const state = new ControlState();
      for (const command of before) run(state, command);
      const answer = run<ReserveAnswer>(state, reserve(requestId, 200, digest));
      assert.equal(answer.verdict, verdict);
      assert.equal(answer.state, held);
      const isDone = held === ReservationState.Done;
      assert.equal(answer.answer?.body, isDone ? 'a' : undefined);
    });
  }
});

describe('declarations', () => {
  it('accept exactly one of any changes with equal numbers', () => {
    const commands = fc.array(fc.record({id: fc.nat(9), expected: fc.nat(3)}), {
      maxLength: 40,
    });
    fc.assert(
      fc.property(commands, plan => {
        const state = new ControlState();
        const first = new Map<string, DeclareAnswer>();
        let version = 0;
        for (const {id, expected} of plan) {
          const commandId = `c${id}`;
          const answer = run<DeclareAnswer>(state, {
            kind: CommandKind.Declare,
            commandId,
            expectedVersion: expected,
            document: {
              workspaces: [],
              classes: [],
              routing: [],
              services: [],
              backends: [],
            },
            operator: 'o',
            atMs: 0,
          });
          const before = first.get(commandId);
          if (before) {
            assert.deepEqual(answer, before);
            continue;
          }
          first.set(commandId, answer);
          assert.equal(answer.accepted, expected === version);
          if (answer.accepted) version++;
          assert.equal(answer.version, version);
          assert.equal(state.declared.current.version, version);
        }
      }),
      property,
    );
  });
});

describe('fencing numbers', () => {
  it('rise with each holder and have one holder at a time', () => {
    const state = new ControlState();
    const fence = (holder: string, atMs: number) =>
      run<FenceAnswer>(state, {
        kind: CommandKind.Fence,
        commandId: `${holder}${atMs}`,
        backend: 'engine-1',
        holder,
        leaseMs: 100,
        atMs,
      });
    assert.deepEqual(fence('a', 0), {granted: true, number: 1, waitMs: 0});
    assert.deepEqual(fence('b', 40), {granted: false, number: 1, waitMs: 60});
    assert.deepEqual(fence('a', 50), {granted: true, number: 1, waitMs: 0});
    assert.deepEqual(fence('b', 150), {granted: true, number: 2, waitMs: 0});
    // A leader whose clock is behind must not shorten a lease.
    assert.deepEqual(fence('a', 10), {granted: false, number: 2, waitMs: 100});
  });
});
