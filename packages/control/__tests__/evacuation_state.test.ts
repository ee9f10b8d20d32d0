import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EvacuationView} from '@vanillamux/protocol';
import fc from 'fast-check';
import {
  CommandKind,
  ControlState,
  EvacuationAction,
  EvacuationState,
  EvacuationVerdict,
  planEvacuation,
  type Command,
  type EvacuationAnswer,
  type EvacuationOrder,
} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_206};
const {Begin, Finish} = EvacuationAction;
const {Changed, Unchanged, Outdated, LimitReached} = EvacuationVerdict;
const MAX_DOMAINS = 32;

interface Step {
  readonly failureDomain: string;
  readonly action: EvacuationAction;
  readonly verdict: EvacuationVerdict;
  /** Revisions by which the view behind the order is old. */
  readonly behind?: number;
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly steps: readonly Step[];
  readonly emptied: readonly string[];
  readonly revision: number;
}> = [
  {
    name: 'empties a failure domain once, however often it is told',
    steps: [
      {failureDomain: 'a', action: Begin, verdict: Changed},
      {failureDomain: 'a', action: Begin, verdict: Unchanged},
    ],
    emptied: ['a'],
    revision: 1,
  },
  {
    name: 'acknowledges taking back what was never emptied',
    steps: [{failureDomain: 'a', action: Finish, verdict: Unchanged}],
    emptied: [],
    revision: 0,
  },
  {
    name: 'takes one back and keeps the other',
    steps: [
      {failureDomain: 'b', action: Begin, verdict: Changed},
      {failureDomain: 'a', action: Begin, verdict: Changed},
      {failureDomain: 'b', action: Finish, verdict: Changed},
      {failureDomain: 'b', action: Finish, verdict: Unchanged},
    ],
    emptied: ['a'],
    revision: 3,
  },
  {
    name: 'ignores an order that was overtaken on its way',
    steps: [
      {failureDomain: 'a', action: Begin, verdict: Changed},
      {failureDomain: 'a', action: Finish, verdict: Changed},
      {failureDomain: 'a', action: Begin, verdict: Outdated, behind: 2},
    ],
    emptied: [],
    revision: 2,
  },
  {
    name: 'empties a bounded number',
    steps: [
      ...Array.from({length: MAX_DOMAINS}, (_, at) => ({
        failureDomain: `d${at + 10}`,
        action: Begin,
        verdict: Changed,
      })),
      {failureDomain: 'one more', action: Begin, verdict: LimitReached},
      {failureDomain: 'd10', action: Begin, verdict: Unchanged},
    ],
    emptied: Array.from({length: MAX_DOMAINS}, (_, at) => `d${at + 10}`),
    revision: MAX_DOMAINS,
  },
];

/** Carries out an order that is based on a view; returns the verdict. */
function carryOut(
  state: EvacuationState,
  known: EvacuationView,
  order: EvacuationOrder,
): EvacuationVerdict {
  const view = planEvacuation(known, order);
  if (!view) return LimitReached;
  return view === known ? Unchanged : state.replace(view).verdict;
}

function evacuate(
  state: ControlState,
  failureDomain: string,
  action: EvacuationAction,
): string {
  const {view: known} = state.evacuation;
  const view = planEvacuation(known, {failureDomain, action});
  assert.ok(view);
  const command: Command = {kind: CommandKind.Evacuate, view, atMs: 0};
  return JSON.stringify(command);
}

describe('EvacuationState', () => {
  for (const {name, steps, emptied, revision} of CASES) {
    it(name, () => {
      const state = new EvacuationState();
      const views = [state.view];
      for (const {verdict, behind = 0, ...order} of steps) {
        const before = views[views.length - 1 - behind]!;
        assert.equal(carryOut(state, before, order), verdict);
        if (verdict === Changed) views.push(state.view);
      }
      assert.deepEqual(state.view, {revision, failureDomains: emptied});
    });
  }

  it('is the same on every member, whatever restarts and snapshots come', () => {
    const stepArbitrary = fc.record({
      kind: fc.constantFrom('begin', 'finish', 'crash', 'snapshot', 'install'),
      member: fc.nat(2),
      domain: fc.constantFrom('a', 'b', 'c'),
    });
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
        const model = new Set<string>();
        let changes = 0;
        const log: string[] = [];
        // Each member: its state, and its latest snapshot with its position.
        const members = [0, 1, 2].map(() => ({
          state: new ControlState(),
          saved: {text: '', position: 0},
        }));
        const restore = (
          at: number,
          {text, position}: {text: string; position: number},
        ): void => {
          const state = new ControlState();
          state.restore(text);
          for (const command of log.slice(position)) state.apply(command);
          members[at] = {state, saved: {text, position}};
        };
        for (const {kind, member, domain} of steps) {
          const {state, saved} = members[member]!;
          if (kind === 'crash') restore(member, saved);
          if (kind === 'snapshot')
            members[member]!.saved = {
              text: state.snapshot(),
              position: log.length,
            };
          if (kind === 'install') restore((member + 1) % members.length, saved);
          if (kind !== 'begin' && kind !== 'finish') continue;
          const isBegin = kind === 'begin';
          const isChange = model.has(domain) !== isBegin;
          if (isChange) changes++;
          if (isBegin) model.add(domain);
          else model.delete(domain);
          const command = evacuate(state, domain, isBegin ? Begin : Finish);
          log.push(command);
          for (const each of members) {
            const answer = each.state.apply(command) as EvacuationAnswer;
            assert.equal(answer.verdict, isChange ? Changed : Outdated);
          }
        }
        for (const {state} of members) {
          const {view} = state.evacuation;
          assert.deepEqual(view.failureDomains, [...model].sort());
          assert.equal(view.revision, changes);
        }
      }),
      property,
    );
  });
});

/** What the build before did with the kinds of commands that it knew. */
function applyAsBuildBefore(text: string): string | undefined {
  const command = JSON.parse(text) as Command;
  switch (command.kind as string) {
    case 'declare':
    case 'reserve':
    case 'settle':
    case 'expire':
    case 'fence':
    case 'publish':
      return command.kind;
    default:
      return undefined;
  }
}

describe('the build before', () => {
  it('passes over the command', () => {
    const state = new ControlState();
    assert.equal(applyAsBuildBefore(evacuate(state, 'a', Begin)), undefined);
  });

  it('gets snapshots without a new field until there was an order', () => {
    const state = new ControlState();
    assert.ok(!('evacuation' in JSON.parse(state.snapshot())));
    state.apply(evacuate(state, 'a', Begin));
    const {evacuation, ...known} = JSON.parse(state.snapshot());
    assert.deepEqual(evacuation, {revision: 1, failureDomains: ['a']});
    assert.deepEqual(
      Object.keys(known).sort(),
      Object.keys(JSON.parse(new ControlState().snapshot())).sort(),
    );
  });

  it('loses the view, which the next order brings back', () => {
    const leader = new ControlState();
    const first = evacuate(leader, 'a', Begin);
    leader.apply(first);
    const second = evacuate(leader, 'b', Begin);
    leader.apply(second);
    const behind = new ControlState();
    behind.apply(second);
    assert.deepEqual(behind.evacuation.view, leader.evacuation.view);
  });

  it('sends snapshots that leave the emptied domains as they are', () => {
    const before = new ControlState().snapshot();
    const state = new ControlState();
    state.apply(evacuate(state, 'a', Begin));
    state.restore(before);
    assert.deepEqual(state.evacuation.view.failureDomains, ['a']);
  });
});
