import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Backend} from '../src/fleet/backend.js';
import {EnginePlacementPolicy} from '../src/placement/engine_placement_policy.js';
import {createPresence, createWork} from './create_backend.js';
import {createRoute, ENGINE} from './create_config.js';

const HOSTS = 75;
const DOMAINS = ['fd-a', 'fd-b', 'fd-c'];
const ENGINES_PER_DOMAIN = 23;
const COLD_DOMAIN = 'fd-b';
const COLD_MS = 3_000;
const SECOND_MS = 1_000;
/** Requests of a cold server in a second, at 17 a second, 1.5 times and 5. */
const MAX_PER_S = 30;
const SEEDS = [1, 2, 3];

/** Requests of the second after the readmission, by length of the prompt. */
const PROMPTS = [
  {share: 0.84, tokens: 5_000, goalMs: 260, pauseGoalMs: 200},
  {share: 0.135, tokens: 45_000, goalMs: 1_500, pauseGoalMs: 500},
  {share: 0.025, tokens: 300_000, goalMs: 8_000, pauseGoalMs: 800},
];

interface Host {
  readonly policy: EnginePlacementPolicy;
  readonly view: readonly Backend[];
}

function createHost(
  index: number,
  warmStreams: number,
  random: () => number,
): Host {
  const domain = DOMAINS[index % DOMAINS.length]!;
  const view = DOMAINS.flatMap(failureDomain =>
    Array.from({length: ENGINES_PER_DOMAIN}, (_, at) => {
      const id = `${failureDomain}-${at}`;
      const backend = new Backend(createPresence({id, failureDomain}));
      if (failureDomain === COLD_DOMAIN) {
        backend.cold.record(1, COLD_MS, 0);
        return backend;
      }
      for (let stream = 0; stream < warmStreams; stream++)
        backend.work.add(
          `warm${stream}`,
          createWork({contextTokens: 5_000, decodeMs: 2_000, pauseGoalMs: 200}),
          -SECOND_MS,
        );
      return backend;
    }),
  );
  return {policy: new EnginePlacementPolicy(domain, random), view};
}

/** Places the requests of one second. Returns how many each engine gets. */
function placeSecond(options: {
  readonly seed: number;
  readonly requests: number;
  readonly areToldOfOthers: boolean;
  /** Streams on each warm engine when the cold ones come back. */
  readonly warmStreams: number;
}): Map<string, number> {
  const {seed, requests, areToldOfOthers, warmStreams} = options;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformInt(generator, 0, 999_999) / 1e6;
  const hosts = Array.from({length: HOSTS}, (_, at) =>
    createHost(at, warmStreams, random),
  );
  const counts = new Map<string, number>();
  for (let index = 0; index < requests; index++) {
    const nowMs = (index * SECOND_MS) / requests;
    const host = hosts[Math.floor(random() * HOSTS)]!;
    const drawn = random();
    let sum = 0;
    const prompt =
      PROMPTS.find(({share}) => (sum += share) > drawn) ?? PROMPTS[0]!;
    const {tokens, goalMs, pauseGoalMs} = prompt;
    const decision = host.policy.place({
      service: {
        name: 'notes',
        healthPath: '/',
        maxConnections: 10,
        engine: ENGINE,
      },
      route: createRoute({isStream: true, latencyGoalMs: goalMs, pauseGoalMs}),
      metadata: {
        requestId: 'r',
        promptTokens: tokens,
        expectedOutputTokens: 1_600,
        maxOutputTokens: 1_600,
      },
      maxHelperEntries: 16,
      candidates: host.view,
      nowMs,
      waitedMs: 0,
    })!;
    for (const {backend, item} of decision.work) {
      const {id} = backend.presence;
      counts.set(id, (counts.get(id) ?? 0) + 1);
      backend.work.add(`r${index}`, item, nowMs);
      if (!areToldOfOthers) continue;
      const at = host.view.indexOf(backend);
      for (const {view} of hosts)
        if (view !== host.view)
          view[at]!.work.addPeerWork(`r${index}`, item, nowMs);
    }
  }
  return counts;
}

const CASES = [
  {name: 'that tell each other what they place', areToldOfOthers: true},
  {name: 'that know nothing of each other', areToldOfOthers: false},
];
const LOADS = [
  {requests: 90, warmStreams: 2},
  {requests: 270, warmStreams: 2},
  {requests: 90, warmStreams: 11},
  {requests: 270, warmStreams: 11},
];

describe('a failure domain of 23 cold engines that comes back', () => {
  for (const seed of SEEDS)
    for (const {name, areToldOfOthers} of CASES)
      for (const {requests, warmStreams} of LOADS)
        it(`is not overrun by ${HOSTS} hosts ${name}, ${requests} requests, ${warmStreams} streams a warm engine, seed ${seed}`, () => {
          const counts = placeSecond({
            seed,
            requests,
            warmStreams,
            areToldOfOthers,
          });
          const all = [...counts.values()].reduce((a, b) => a + b, 0);
          const cold = [...counts]
            .filter(([id]) => id.startsWith(COLD_DOMAIN))
            .map(([, count]) => count);
          const coldShare = cold.reduce((a, b) => a + b, 0) / all;
          const most = Math.max(0, ...cold);
          assert.ok(most <= MAX_PER_S, `${most} requests to a cold engine`);
          // Beside warm engines with room they get no more than their part.
          if (warmStreams < ENGINE.batchSize)
            assert.ok(
              coldShare < 1 / DOMAINS.length,
              `${coldShare} of the work`,
            );
        });
});
