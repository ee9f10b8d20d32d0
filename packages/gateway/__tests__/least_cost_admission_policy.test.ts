import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {AdmissionRefusal} from '../src/admission/admission_refusal.js';
import type {AdmissionRequest} from '../src/admission/admission_request.js';
import {LeastCostAdmissionPolicy} from '../src/admission/least_cost_admission_policy.js';
import {RefusalReason} from '../src/admission/refusal_reason.js';
import type {Backend} from '../src/fleet/backend.js';
import {createBackends, createWork} from './create_backend.js';
import {ENGINE} from './create_config.js';

const ENGINES = 4;
const DECODE_MS = 2_000;
const SLOTS = ENGINES * ENGINE.batchSize;

type Overrides = Partial<AdmissionRequest> & {
  readonly promptTokens?: number;
  readonly answerTokens?: number;
};

/** Engines on which so many streams run. */
function occupy(streams: number): Backend[] {
  const backends = createBackends(ENGINES);
  for (let at = 0; at < streams; at++)
    backends[at % ENGINES]!.work.add(
      `w${at}`,
      createWork({prefillMs: 1, decodeMs: DECODE_MS}),
      0,
    );
  return backends;
}

function ask(
  policy: LeastCostAdmissionPolicy,
  {promptTokens = 5_000, answerTokens = 1_500, ...fields}: Overrides,
): AdmissionRefusal | undefined {
  return policy.refuse({
    service: {
      name: 'notes',
      healthPath: '/',
      maxConnections: 10,
      engine: ENGINE,
    },
    metadata: {
      requestId: 'r',
      promptTokens,
      expectedOutputTokens: answerTokens,
      maxOutputTokens: answerTokens,
    },
    route: 'short',
    urgency: {levelsBelow: 0, levelsAbove: 0},
    latencyGoalMs: 300,
    prediction: {
      firstEventMs: 100,
      idleFirstEventMs: 90,
      prefillShareMs: 25,
      predictedLoss: 0,
    },
    backends: occupy(0),
    nowMs: 0,
    ...fields,
  });
}

/** A policy that has learnt what is typical of the route. */
function createPolicy(): LeastCostAdmissionPolicy {
  const policy = new LeastCostAdmissionPolicy(() => 0.99);
  for (let at = 0; at < 10; at++) ask(policy, {nowMs: 0});
  return policy;
}

const LATE = {
  firstEventMs: 250,
  idleFirstEventMs: 90,
  prefillShareMs: 25,
  predictedLoss: 0,
};
const URGENT = {levelsBelow: 1, levelsAbove: 0};
const LESS_URGENT = {levelsBelow: 0, levelsAbove: 1, urgentGoalMs: 250};

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly request: Overrides;
  readonly reason?: RefusalReason;
}> = [
  {name: 'idle engines', request: {answerTokens: 9_000}},
  {
    name: 'three quarters of all slots taken, and a long answer',
    request: {backends: occupy(0.75 * SLOTS), answerTokens: 9_000},
  },
  {
    name: 'few free slots, and an answer much longer than is typical',
    request: {backends: occupy(0.85 * SLOTS), answerTokens: 9_000},
    reason: RefusalReason.Price,
  },
  {
    name: 'few free slots, and a typical request',
    request: {backends: occupy(0.85 * SLOTS)},
  },
  {
    name: 'no free slot, and a typical request',
    request: {backends: occupy(SLOTS)},
    reason: RefusalReason.Price,
  },
  {
    name: 'few free slots, and an urgent request for a long answer',
    request: {
      backends: occupy(0.85 * SLOTS),
      answerTokens: 9_000,
      urgency: URGENT,
    },
  },
  {
    name: 'four fifths of all slots taken, and a long answer',
    request: {backends: occupy(0.8 * SLOTS), answerTokens: 9_000},
  },
  {
    name: 'four fifths of all slots taken, and a less urgent request',
    request: {
      backends: occupy(0.8 * SLOTS),
      answerTokens: 9_000,
      urgency: LESS_URGENT,
    },
    reason: RefusalReason.Price,
  },
  {
    name: 'half of all slots free, and the least urgent of many priorities',
    request: {
      backends: occupy(0.5 * SLOTS),
      answerTokens: 9_000,
      urgency: {levelsBelow: 0, levelsAbove: 8, urgentGoalMs: 250},
    },
  },
  {
    name: 'idle engines, and an urgent request that would be late',
    request: {prediction: LATE, urgency: URGENT},
    reason: RefusalReason.Backlog,
  },
  {
    name: 'slots that are awaited for longer than the placement predicts',
    request: {backends: occupy(2 * SLOTS), urgency: URGENT},
    reason: RefusalReason.Backlog,
  },
  {
    name: 'no engine known',
    request: {backends: [], prediction: LATE},
  },
  {
    name: 'no prediction, as of a plain service',
    request: {backends: occupy(2 * SLOTS), prediction: undefined},
  },
  {
    name: 'a request that names no tokens',
    request: {promptTokens: 0, answerTokens: 0},
  },
];

describe('LeastCostAdmissionPolicy', () => {
  for (const {name, request, reason} of CASES)
    it(`${reason ? `refuses for ${reason}` : 'admits'}: ${name}`, () => {
      assert.equal(ask(createPolicy(), request)?.reason, reason);
    });

  it('refuses less urgent work while queues would keep urgent work late', () => {
    const backends = createBackends(ENGINES);
    for (const {work} of backends)
      work.add('w', createWork({prefillMs: 400}), 0);
    const request = {backends, latencyGoalMs: 8_000};
    const policy = createPolicy();
    assert.equal(
      ask(policy, {...request, urgency: LESS_URGENT})?.reason,
      RefusalReason.Price,
    );
    assert.equal(ask(policy, request), undefined);
  });

  it('admits whatever comes again once the work has ended', () => {
    const backends = occupy(SLOTS);
    const policy = createPolicy();
    assert.ok(ask(policy, {backends}));
    for (let at = 0; at < SLOTS; at++)
      backends[at % ENGINES]!.work.remove(`w${at}`, 500);
    assert.equal(ask(policy, {backends, nowMs: 500}), undefined);
  });

  it('learns from a request once, however often it asks', () => {
    const backends = occupy(0.85 * SLOTS);
    const long = {backends, answerTokens: 9_000};
    const policy = createPolicy();
    for (let at = 0; at < 100; at++) ask(policy, {...long, isRepeated: true});
    assert.equal(ask(policy, long)?.reason, RefusalReason.Price);
  });

  it('decides alike on a host that has just started', () => {
    const backends = occupy(SLOTS);
    const reasons = [
      createPolicy(),
      new LeastCostAdmissionPolicy(() => 0.99),
    ].map(policy => ask(policy, {backends})?.reason);
    assert.deepEqual(reasons, [RefusalReason.Price, RefusalReason.Price]);
  });

  it('keeps to its own work on a host that hears nothing', () => {
    const policy = createPolicy();
    assert.equal(ask(policy, {backends: occupy(1)}), undefined);
    assert.ok(ask(policy, {backends: occupy(1), prediction: LATE}));
  });

  it('starves no size of prompts, however little they are worth', () => {
    const policy = createPolicy();
    const backends = occupy(0.95 * SLOTS);
    let longAdmitted = 0;
    let shortAdmitted = 0;
    for (let at = 0; at < 100; at++) {
      shortAdmitted += Number(!ask(policy, {backends, answerTokens: 400}));
      longAdmitted += Number(
        !ask(policy, {backends, promptTokens: 90_000, answerTokens: 9_000}),
      );
    }
    assert.ok(shortAdmitted > longAdmitted, `${shortAdmitted}`);
    const meanAdmitted = (shortAdmitted + longAdmitted) / 2;
    assert.ok(longAdmitted >= meanAdmitted / 2, `${longAdmitted}`);
  });

  it('refuses a workspace first that uses more than its share', () => {
    const policy = createPolicy();
    const backends = occupy(0);
    for (let at = 0; at < 200; at++)
      ask(policy, {backends, workspace: at % 20 ? 'large' : 'small'});
    /** Most streams beside which a workspace is admitted. */
    const limit = (workspace: string): number => {
      let streams = 0;
      while (!ask(policy, {backends: occupy(streams), workspace})) streams++;
      return streams;
    };
    assert.ok(limit('small') > limit('large'));
    assert.ok(limit('large') > 0.75 * SLOTS);
  });
});
