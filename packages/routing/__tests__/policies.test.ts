import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  EstimatedFirstTokenPolicy,
  estimateFirstTokenMs,
  type BackendView,
  type CandidatePool,
  type RoutingRequest,
} from '../src/index.js';

const SHORT_PROMPT_TOKENS = 2_000;
const LONG_PROMPT_TOKENS = 200_000;

function createView(
  id: string,
  overrides: Partial<BackendView> = {},
): BackendView {
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
    ...overrides,
  };
}

function createPool(views: readonly BackendView[]): CandidatePool {
  const local = views.filter(({isLocal}) => isLocal);
  return {
    preferred: local.length > 0 ? local : views,
    sampleRemote: () => views.filter(({isLocal}) => !isLocal),
  };
}

function createRequest(
  overrides: Partial<RoutingRequest> = {},
): RoutingRequest {
  return {
    requestId: 'r',
    promptTokens: SHORT_PROMPT_TOKENS,
    maxTokens: 16,
    priority: 1,
    cachedTokensOn: () => 0,
    ...overrides,
  };
}

/** Outstanding prefill at one priority. */
function createPrefill(priority: number, tokens: number): number[] {
  return Array.from({length: 10}, (_, index) =>
    index === priority ? tokens : 0,
  );
}

describe('the estimated-first-token policy', () => {
  for (const {name, request, views, chosen} of [
    {
      name: 'takes the idle engine before a busy one',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: createPrefill(1, 20_000)}),
        createView('b'),
      ],
      chosen: 'b',
    },
    {
      name: 'keeps short prompts off an engine with a long one',
      request: createRequest(),
      views: [
        createView('a', {
          prefillByPriority: createPrefill(6, LONG_PROMPT_TOKENS),
        }),
        createView('b'),
      ],
      chosen: 'b',
    },
    {
      name: 'passes a long prompt by priority rather than wait for short ones',
      request: createRequest(),
      views: [
        createView('a', {
          prefillByPriority: createPrefill(6, LONG_PROMPT_TOKENS),
        }),
        createView('b', {prefillByPriority: createPrefill(1, 8_000)}),
      ],
      chosen: 'a',
    },
    {
      name: 'gathers long prompts on the first engine that is nearly as good',
      request: createRequest({promptTokens: LONG_PROMPT_TOKENS, priority: 6}),
      views: [
        createView('c'),
        createView('a', {prefillByPriority: createPrefill(1, 10_000)}),
        createView('b'),
      ],
      chosen: 'a',
    },
    {
      name: 'does not queue one long prompt behind another',
      request: createRequest({promptTokens: LONG_PROMPT_TOKENS, priority: 6}),
      views: [
        createView('a', {
          prefillByPriority: createPrefill(6, LONG_PROMPT_TOKENS),
        }),
        createView('b'),
      ],
      chosen: 'b',
    },
    {
      name: 'follows the prefix cache',
      request: createRequest({
        promptTokens: 16_000,
        cachedTokensOn: id => (id === 'b' ? 14_000 : 0),
      }),
      views: [createView('a'), createView('b')],
      chosen: 'b',
    },
    {
      name: 'leaves a cached prefix when its engine is overloaded',
      request: createRequest({
        promptTokens: 16_000,
        cachedTokensOn: id => (id === 'b' ? 14_000 : 0),
      }),
      views: [
        createView('a'),
        createView('b', {prefillByPriority: createPrefill(1, 40_000)}),
      ],
      chosen: 'a',
    },
    {
      name: 'stays in its failure domain while that is quick',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: createPrefill(1, 500)}),
        createView('b', {isLocal: false}),
      ],
      chosen: 'a',
    },
    {
      name: 'goes to another failure domain when its own makes it wait',
      request: createRequest(),
      views: [
        createView('a', {prefillByPriority: createPrefill(1, 20_000)}),
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
      request: createRequest({promptTokens: LONG_PROMPT_TOKENS, priority: 6}),
      views: [createView('a', {freeTokens: 10_000}), createView('b')],
      chosen: 'b',
    },
  ]) {
    it(name, () => {
      for (const randomValue of [0, 0.5, 0.99]) {
        const policy = new EstimatedFirstTokenPolicy({
          random: () => randomValue,
        });
        const decision = policy.choose(request, createPool(views));
        assert.equal(decision.backend.id, chosen);
        assert.equal(decision.candidates[0]?.backend, chosen);
      }
    });
  }

  it('spreads equal choices', () => {
    let randomValue = 0;
    const policy = new EstimatedFirstTokenPolicy({
      random: () => (randomValue = (randomValue + 0.3) % 1),
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
      createView('a', {prefillByPriority: createPrefill(6, 1_000_000)}),
    );
    const stepMs = 2_048 / 40;
    assert.ok(shared > idle);
    assert.ok(shared <= idle + 2 * stepMs);
  });
});
