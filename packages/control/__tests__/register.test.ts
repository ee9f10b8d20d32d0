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
  type DeclareResult,
  type FenceResult,
  type ReserveResult,
  type SettleResult,
} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_203};
const LEASE_MS = 100;
const KEY = {workspace: 'w', service: 's', key: 'k'};

function apply<R>(state: ControlState, command: Command): R {
  return state.apply(JSON.stringify(command)) as R;
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
  const response =
    outcome === SettleOutcome.Done
      ? {status: 200, contentType: 'text/plain', body: requestId}
      : undefined;
  return {
    kind: CommandKind.Settle,
    ...KEY,
    requestId,
    outcome,
    answer: response,
    operator,
    atMs,
  };
}

describe('the at-most-once register', () => {
  it('grants a key to one request until it is known not to have run', () => {
    const stepsArbitrary = fc.array(
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
      fc.property(stepsArbitrary, steps => {
        let state = new ControlState();
        let atMs = 0;
        /** Requests that may send: granted and not given back since. */
        const mayHaveRun = new Set<string>();
        for (const {kind, request, waitMs, copies} of steps) {
          atMs += waitMs;
          const id = `r${request}`;
          for (let copy = 0; copy < copies; copy++) {
            if (kind === 'reserve') {
              const result = apply<ReserveResult>(state, reserve(id, atMs));
              if (result.verdict === ReserveVerdict.Granted) mayHaveRun.add(id);
            } else if (kind === 'expire') {
              apply(state, {kind: CommandKind.Expire, atMs});
            } else {
              const outcome = kind as SettleOutcome;
              const result = apply<SettleResult>(
                state,
                settle(id, outcome, atMs),
              );
              const isFree =
                outcome === SettleOutcome.NotRun &&
                result.settled &&
                result.state === undefined;
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
      verdict: ReserveVerdict.BodyMismatch,
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
      for (const command of before) apply(state, command);
      const result = apply<ReserveResult>(
        state,
        reserve(requestId, 200, digest),
      );
      assert.equal(result.verdict, verdict);
      assert.equal(result.state, held);
      const isDone = held === ReservationState.Done;
      assert.equal(result.answer?.body, isDone ? 'a' : undefined);
    });
  }
});

describe('declarations', () => {
  it('accept exactly one of any changes with equal numbers', () => {
    const commandsArbitrary = fc.array(
      fc.record({id: fc.nat(9), expected: fc.nat(3)}),
      {
        maxLength: 40,
      },
    );
    fc.assert(
      fc.property(commandsArbitrary, attempts => {
        const state = new ControlState();
        const firstResults = new Map<string, DeclareResult>();
        let version = 0;
        for (const {id, expected} of attempts) {
          const commandId = `c${id}`;
          const result = apply<DeclareResult>(state, {
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
          const before = firstResults.get(commandId);
          if (before) {
            assert.deepEqual(result, before);
            continue;
          }
          firstResults.set(commandId, result);
          assert.equal(result.accepted, expected === version);
          if (result.accepted) version++;
          assert.equal(result.version, version);
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
      apply<FenceResult>(state, {
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
