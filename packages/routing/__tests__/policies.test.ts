import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  EstimatedFirstTokenPolicy,
  estimateFirstTokenMs,
  type BackendView,
  type CandidatePool,
  type RoutingRequest,
} from '../src/index.js';

const SHORT = 2_000;
const LONG = 200_000;

function createView(id: string, over: Partial<BackendView> = {}): BackendView {
  return {
    id,
    incarnation: 1,
    address: {host: '127.0.0.1', port: 1},
    failureDomain: 'fd-a',
    isLocal: true,
    memoryTokens: 450_000,
    prefillTokensPerSecond: 40_000,
    decodeStepMs: 8,
    chunkTokens: 2_048,
    prefillByPriority: [0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
    runningStreams: 0,
    freeTokens: 450_000,
    ownRequests: 0,
    ...over,
  };
}

function createPool(views: readonly BackendView[]): CandidatePool {
  const local = views.filter(({isLocal}) => isLocal);
  return {
    near: local.length > 0 ? local : views,
    elsewhere: () => views.filter(({isLocal}) => !isLocal),
  };
}

function createRequest(over: Partial<RoutingRequest> = {}): RoutingRequest {
  return {
    requestId: 'r',
    promptTokens: SHORT,
    maxTokens: 16,
    priority: 1,
    cachedTokens: () => 0,
    ...over,
  };
}

/** Outstanding prefill at one priority. */
function queued(priority: number, tokens: number): number[] {
  return Array.from({length: 10}, (_, level) =>
    level === priority ? tokens : 0,
  );
}

describe('the estimated-first-token policy', () => {
  for (const {name, request, views, chosen} of [
    {
      name: 'takes the idle engine before a busy one',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: queued(1, 20_000)}),
        createView('b'),
      ],
      chosen: 'b',
    },
    {
      name: 'keeps short prompts off an engine with a long one',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: queued(6, LONG)}),
        createView('b'),
      ],
      chosen: 'b',
    },
    {
      name: 'passes a long prompt by priority rather than wait for short ones',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: queued(6, LONG)}),
        createView('b', {prefillByPriority: queued(1, 8_000)}),
      ],
      chosen: 'a',
    },
    {
      name: 'gathers long prompts on the first engine that is nearly as good',
      request: createRequest({promptTokens: LONG, priority: 6}),
      views: [
        createView('c'),
        createView('a', {prefillByPriority: queued(1, 10_000)}),
        createView('b'),
      ],
      chosen: 'a',
    },
    {
      name: 'does not queue one long prompt behind another',
      request: createRequest({promptTokens: LONG, priority: 6}),
      views: [
        createView('a', {prefillByPriority: queued(6, LONG)}),
        createView('b'),
      ],
      chosen: 'b',
    },
    {
      name: 'follows the prefix cache',
      request: createRequest({
        promptTokens: 16_000,
        cachedTokens: id => (id === 'b' ? 14_000 : 0),
      }),
      views: [createView('a'), createView('b')],
      chosen: 'b',
    },
    {
      name: 'leaves a cached prefix when its engine is overloaded',
      request: createRequest({
        promptTokens: 16_000,
        cachedTokens: id => (id === 'b' ? 14_000 : 0),
      }),
      views: [
        createView('a'),
        createView('b', {prefillByPriority: queued(1, 40_000)}),
      ],
      chosen: 'a',
    },
    {
      name: 'stays in its failure domain while that is quick',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: queued(1, 500)}),
        createView('b', {isLocal: false}),
      ],
      chosen: 'a',
    },
    {
      name: 'goes to another failure domain when its own makes it wait',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: queued(1, 20_000)}),
        createView('b', {isLocal: false}),
      ],
      chosen: 'b',
    },
    {
      name: 'uses another failure domain when its own has no engine',
      request: createRequest(),
      views: [createView('b', {isLocal: false})],
      chosen: 'b',
    },
    {
      name: 'avoids an engine whose memory is taken',
      request: createRequest({promptTokens: LONG, priority: 6}),
      views: [createView('a', {freeTokens: 10_000}), createView('b')],
      chosen: 'b',
    },
  ]) {
    it(name, () => {
      for (const point of [0, 0.5, 0.99]) {
        const policy = new EstimatedFirstTokenPolicy({random: () => point});
        const decision = policy.choose(request, createPool(views));
        assert.equal(decision.backend.id, chosen);
        assert.equal(decision.candidates[0]?.backend, chosen);
      }
    });
  }

  it('spreads equal choices', () => {
    let point = 0;
    const policy = new EstimatedFirstTokenPolicy({
      random: () => (point = (point + 0.3) % 1),
    });
    const views = ['a', 'b', 'c'].map(id => createView(id));
    const chosen = new Set(
      Array.from(
        {length: 12},
        () => policy.choose(createRequest(), createPool(views)).backend.id,
      ),
    );
    assert.equal(chosen.size, 3);
  });
});

describe('the estimate of time to first token', () => {
  it('is the prefill time on an idle engine', () => {
    assert.equal(estimateFirstTokenMs(createRequest(), createView('a')), 50);
  });

  it('grows with less urgent work by at most the steps that carry it', () => {
    const idle = estimateFirstTokenMs(createRequest(), createView('a'));
    const shared = estimateFirstTokenMs(
      createRequest(),
      createView('a', {prefillByPriority: queued(6, 1_000_000)}),
    );
    const stepMs = 2_048 / 40;
    assert.ok(shared > idle);
    assert.ok(shared <= idle + 2 * stepMs);
  });
});
