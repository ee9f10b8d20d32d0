import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EventBus} from '@vanillamux/shared';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {FailingBackends} from '../src/failing_backends/failing_backends.js';
import {FailingPhase} from '../src/failing_backends/failing_phase.js';
import type {FailureNotice} from '../src/failing_backends/failure_notice.js';
import type {DepartureManager} from '../src/departures/departure_manager.js';
import {BackendSignals} from '../src/fleet/backend_signals.js';
import {BackendPool} from '../src/fleet/backend_pool.js';
import type {PeerFacts} from '../src/peers/peer_facts.js';
import {placementNoticeSchema} from '../src/peers/placement_notice_schema.js';
import {RequestCandidates} from '../src/request/request_candidates.js';
import type {RequestCandidatesOptions} from '../src/request/request_candidates.js';
import {createBackends, createPresence, reported} from './create_backend.js';

const FAILING = 'e0';
const SEEDS = [1, 2, 3];
const SOUND_AFTER_MS = 2_000;

interface Host {
  readonly pool: BackendPool;
  readonly failing: FailingBackends;
}

/** Entry hosts with a clock, and notices that arrive at once or are lost. */
class Scene {
  nowMs = 0;
  readonly hosts: readonly Host[];
  private readonly buses: ReadonlyArray<EventBus<FailureNotice>>;

  constructor(
    count: number,
    servers: number,
    private readonly isLost: () => boolean = () => false,
  ) {
    this.buses = Array.from({length: count}, () => new EventBus());
    this.hosts = this.buses.map((bus, index) => {
      const pool = new BackendPool(() => this.nowMs);
      for (let at = 0; at < servers; at++)
        pool.apply(reported(createPresence({id: `e${at}`})));
      const failing = new FailingBackends({
        notices: {
          failureNotices: () => bus.stream(),
          broadcastFacts: facts => this.deliver(index, facts),
        },
        backends: pool,
        isEnabled: true,
        hostCount: () => count,
        now: () => this.nowMs,
      });
      return {pool, failing};
    });
  }

  deliver(from: number, {failures}: PeerFacts): void {
    this.buses.forEach((bus, index) => {
      if (index !== from && failures && !this.isLost()) bus.emit(failures);
    });
  }

  /** Lets time pass, and notices arrive. */
  async advance(ms: number): Promise<void> {
    this.nowMs += ms;
    await new Promise(setImmediate);
  }

  phase({pool}: Host, id = FAILING): FailingPhase {
    return pool.get(id)!.evidence.phase(this.nowMs);
  }

  fail({pool, failing}: Host, id = FAILING): void {
    failing.learn(pool.get(id)!, 'r');
  }

  candidates({pool}: Host, isRepeatable: boolean): RequestCandidates {
    const requestLimits = {
      waitMs: () => 0,
      isLimited: () => false,
      requiresPermit: () => false,
    };
    return new RequestCandidates({
      components: {backends: pool, requestLimits},
      service: 'notes',
      requestId: 'r',
      isRepeatable,
      mayUse: () => true,
    } as unknown as RequestCandidatesOptions);
  }
}

describe('FailingBackends', () => {
  for (const count of [75, 145, 300])
    for (const seed of SEEDS)
      it(`spoil few requests at ${count} hosts, of a server that fails 45 %, seed ${seed}`, async () => {
        const scene = new Scene(count, 10);
        const generator = xoroshiro128plus(seed);
        const draw = (max: number): number => uniformInt(generator, 0, max - 1);
        let failed = 0;
        let spoilt = 0;
        await scene.advance(1);
        // Ten seconds of 100 requests a second, one in ten of them to run once.
        for (let at = 0; at < 1_000; at++) {
          const host = scene.hosts[draw(count)]!;
          const isRepeatable = draw(10) !== 0;
          const list = scene.candidates(host, isRepeatable).list(scene.nowMs);
          const backend = list[draw(list.length)]!;
          const fails = backend.presence.id === FAILING && draw(100) < 45;
          if (fails) {
            scene.fail(host);
            failed++;
            if (!isRepeatable) spoilt++;
          }
          await scene.advance(10);
        }
        // Untouched, it gets 100 requests and fails 45 of them.
        assert.ok(failed <= 15, `${failed} attempts failed`);
        assert.ok(spoilt <= 3, `${spoilt} requests spoilt`);
      });

  const CASES = [
    {
      name: 'one failure',
      failuresMs: [0],
      others: 0,
      atMs: 0,
      phase: FailingPhase.Sound,
    },
    {
      name: 'two failures',
      failuresMs: [0, 1_000],
      others: 0,
      atMs: 1_000,
      phase: FailingPhase.Avoided,
    },
    {
      name: 'two failures far apart',
      failuresMs: [0, 5_000],
      others: 0,
      atMs: 5_000,
      phase: FailingPhase.Sound,
    },
    {
      name: 'two failures like every other server',
      failuresMs: [0, 0],
      others: 2,
      atMs: 0,
      phase: FailingPhase.Sound,
    },
    {
      name: 'many more failures than others',
      failuresMs: [0, 0, 0, 0],
      others: 1,
      atMs: 0,
      phase: FailingPhase.Avoided,
    },
    {
      name: 'two failures a while ago',
      failuresMs: [0, 0],
      others: 0,
      atMs: 900,
      phase: FailingPhase.Trial,
    },
    {
      name: 'two failures two seconds ago',
      failuresMs: [0, 0],
      others: 0,
      atMs: SOUND_AFTER_MS,
      phase: FailingPhase.Sound,
    },
    {
      name: 'a failure of a trial',
      failuresMs: [0, 0, 900],
      others: 0,
      atMs: 1_600,
      phase: FailingPhase.Avoided,
    },
    {
      name: 'one more after it was taken back',
      failuresMs: [0, 0, 2_000],
      others: 0,
      atMs: 2_000,
      phase: FailingPhase.Avoided,
    },
    {
      name: 'one more long after it was taken back',
      failuresMs: [0, 0, 20_000],
      others: 0,
      atMs: 20_000,
      phase: FailingPhase.Sound,
    },
  ];
  for (const {name, failuresMs, others, atMs, phase} of CASES)
    it(`takes a server as ${phase} on every host after ${name}`, async () => {
      const scene = new Scene(30, 5);
      await scene.advance(0);
      for (let at = 1; at < 5; at++)
        for (let count = 0; count < others; count++)
          scene.fail(scene.hosts[at]!, `e${at}`);
      for (const [index, failedMs] of failuresMs.entries()) {
        await scene.advance(failedMs - scene.nowMs);
        scene.fail(scene.hosts[index]!);
        await scene.advance(0);
      }
      await scene.advance(atMs - scene.nowMs);
      for (const host of scene.hosts) assert.equal(scene.phase(host), phase);
    });

  it('tells hosts that have missed it, and a repeated fact adds nothing', async () => {
    let isLost = true;
    const scene = new Scene(30, 5, () => isLost);
    const [first, second] = scene.hosts;
    await scene.advance(0);
    scene.fail(first!);
    scene.fail(first!);
    await scene.advance(500);
    isLost = false;
    for (let round = 0; round < 5; round++)
      scene.deliver(0, first!.failing.takeFacts()!);
    await scene.advance(0);
    assert.equal(scene.phase(second!), FailingPhase.Avoided);
    const weights = [first!, second!].map(({pool}) =>
      pool.get(FAILING)!.evidence.weightAt(scene.nowMs),
    );
    assert.equal(weights[0], weights[1]);
    await scene.advance(SOUND_AFTER_MS);
    assert.equal(scene.phase(second!), FailingPhase.Sound);
    assert.equal(second!.failing.takeFacts(), undefined);
  });

  it('leaves each of few hosts to what it sees itself', async () => {
    const scene = new Scene(7, 5);
    await scene.advance(0);
    for (const host of scene.hosts) scene.fail(host);
    await scene.advance(0);
    for (const host of scene.hosts)
      assert.equal(scene.phase(host), FailingPhase.Sound);
  });

  it('uses the only server of a service, and all if all fail', async () => {
    for (const servers of [1, 2]) {
      const scene = new Scene(30, servers);
      await scene.advance(0);
      for (let at = 0; at < servers; at++)
        for (let count = 0; count < 3; count++)
          scene.fail(scene.hosts[0]!, `e${at}`);
      const list = scene.candidates(scene.hosts[0]!, false).list(0);
      assert.ok(list.length > 0);
    }
  });

  const TRIALS = [
    {isRepeatable: true, hasAttempted: false, isListed: true},
    {isRepeatable: true, hasAttempted: true, isListed: false},
    {isRepeatable: false, hasAttempted: false, isListed: false},
  ];
  for (const {isRepeatable, hasAttempted, isListed} of TRIALS)
    it(`${isListed ? 'tries' : 'does not try'} a failing server with a request, repeatable ${isRepeatable}, attempted ${hasAttempted}`, async () => {
      const scene = new Scene(30, 5);
      const [host] = scene.hosts;
      await scene.advance(0);
      scene.fail(host!);
      scene.fail(host!);
      await scene.advance(900);
      const candidates = scene.candidates(host!, isRepeatable);
      if (hasAttempted) candidates.exclude(host!.pool.get('e1')!);
      const ids = candidates.list(900).map(({presence}) => presence.id);
      assert.equal(ids.includes(FAILING), isListed);
    });

  const STATUSES = [
    {status: 200, isFailure: false},
    {status: 404, isFailure: false},
    {status: 500, isFailure: true},
    {status: 502, isFailure: true},
    {status: 503, isFailure: false},
    {status: 504, isFailure: false},
  ];
  for (const {status, isFailure} of STATUSES)
    it(`takes a response ${status} for ${isFailure ? 'a' : 'no'} failure`, () => {
      let failures = 0;
      const signals = new BackendSignals({
        departures: {} as DepartureManager,
        failing: {learn: () => void failures++},
        metrics: {countPause: () => undefined},
      });
      const [backend] = createBackends(1);
      signals.learnStatus(backend!, status, 'r');
      assert.equal(failures, Number(isFailure));
    });

  it('says what hosts of an earlier version read as nothing new', () => {
    const fact = {backend: 'e0', incarnation: 1, weight: 2, ageMs: 5};
    const notice = {
      from: 'a',
      work: '',
      relay: false,
      placed: [],
      ended: [],
      failures: {facts: [fact]},
    };
    const earlier = placementNoticeSchema.omit({failures: true}).parse(notice);
    assert.ok(!('failures' in earlier));
    assert.equal(placementNoticeSchema.parse(earlier).failures, undefined);
    assert.deepEqual(placementNoticeSchema.parse(notice).failures, {
      facts: [fact],
    });
  });
});
