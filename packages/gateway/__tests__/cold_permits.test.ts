import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import fc from 'fast-check';
import {chooseOwner} from '@vanillamux/routing';
import {EventBus, type Address} from '@vanillamux/shared';
import {ColdBackends} from '../src/cold_backends/cold_backends.js';
import type {ColdNotice} from '../src/cold_backends/cold_notice.js';
import {coldDeputyRate} from '../src/cold_backends/cold_deputy_rate.js';
import {coldPermitRate} from '../src/cold_backends/cold_permit_rate.js';
import {BackendPool} from '../src/fleet/backend_pool.js';
import type {ConfigStore} from '../src/link/config_store.js';
import type {PeerFacts} from '../src/peers/peer_facts.js';
import type {PeerNotices} from '../src/peers/peer_notices.js';
import type {ReceivedLimitNotice} from '../src/peers/received_limit_notice.js';
import {placementNoticeSchema} from '../src/peers/placement_notice_schema.js';
import {PermitIssuer} from '../src/request_limits/permit_issuer.js';
import {RequestLimitManager} from '../src/request_limits/request_limit_manager.js';
import {requestLimitNoticeSchema} from '../src/request_limits/request_limit_notice_schema.js';
import {createPresence, reported} from './create_backend.js';

const SEED = 31;
const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 100);
const MS_PER_SECOND = 1_000;
const ID = 'e1';
const COLD_MS = 60_000;
const RATE_PER_S = 17;
const BOUNDS = {overshoot: 1.5, allowance: 5};
const MAX_PER_S = RATE_PER_S * BOUNDS.overshoot + BOUNDS.allowance;
const ROUND_MS = 5;
const ROUNDS = 400;

/** Most of the times, in order, within any second. */
function mostInSecond(timesMs: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (let last = 0; last < timesMs.length; last++) {
    while (timesMs[last]! - timesMs[first]! >= MS_PER_SECOND) first++;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

/** Waits until the notices on their way and the replies to them have arrived. */
async function deliver(): Promise<void> {
  for (let hop = 0; hop < 4; hop++) await new Promise(setImmediate);
}

describe('coldPermitRate', () => {
  it('keeps two owners at once within the bound in any second', () => {
    fc.assert(
      fc.property(
        fc.double({min: 2.5, max: 200, noNaN: true}),
        fc.array(fc.tuple(fc.integer({min: 0, max: 60}), fc.boolean()), {
          maxLength: 300,
        }),
        (maxPerS, asks) => {
          let nowMs = 0;
          const issuers = [0, 1].map(() => new PermitIssuer(() => nowMs));
          const issuedMs: number[] = [];
          for (const [pauseMs, isSecond] of asks) {
            nowMs += pauseMs;
            const issuer = issuers[Number(isSecond)]!;
            const waitMs = issuer.issueAt(ID, coldPermitRate(maxPerS));
            if (waitMs === 0) issuedMs.push(nowMs);
          }
          assert.ok(mostInSecond(issuedMs) <= maxPerS);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('keeps two owners and their deputies within the bound in any second', () => {
    fc.assert(
      fc.property(
        fc.double({min: 2.5, max: 200, noNaN: true}),
        fc.array(
          fc.tuple(fc.integer({min: 0, max: 60}), fc.integer({min: 0, max: 3})),
          {maxLength: 300},
        ),
        (maxPerS, asks) => {
          let nowMs = 0;
          const issuers = Array.from(
            {length: 4},
            () => new PermitIssuer(() => nowMs),
          );
          const issuedMs: number[] = [];
          for (const [pauseMs, index] of asks) {
            nowMs += pauseMs;
            const isOwner = index < 2;
            const rate = isOwner
              ? coldPermitRate(maxPerS)
              : coldDeputyRate(maxPerS);
            if (!rate) continue;
            if (issuers[index]!.issueAt(ID, rate) === 0) issuedMs.push(nowMs);
          }
          assert.ok(mostInSecond(issuedMs) <= maxPerS);
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('lets an owner issue most of the cold rate of a service', () => {
    const {tokensPerSecond} = coldPermitRate(MAX_PER_S);
    assert.ok(tokensPerSecond > RATE_PER_S / 2);
  });
});

interface Host {
  readonly id: string;
  readonly pool: BackendPool;
  readonly cold: ColdBackends;
  readonly limits: RequestLimitManager;
  readonly bus: EventBus<ReceivedLimitNotice>;
  readonly coldBus: EventBus<ColdNotice>;
  roster: readonly string[];
  side: number;
}

describe('permits for a cold backend server', () => {
  const hosts = new Map<string, Host>();
  let clockMs = 0;

  afterEach(() => hosts.clear());

  function createHost(id: string, roster: readonly string[]): Host {
    const pool = new BackendPool(() => clockMs);
    pool.apply(reported(createPresence({id: ID})));
    const bus = new EventBus<ReceivedLimitNotice>();
    const coldBus = new EventBus<ColdNotice>();
    const send = (to: string, {limits}: PeerFacts): void => {
      const receiver = hosts.get(to);
      if (!limits || !receiver || receiver.side !== host.side) return;
      setImmediate(() =>
        receiver.bus.emit({replyTo: {host: id, port: 1}, notice: limits}),
      );
    };
    const notices = {
      limitNotices: () => bus.stream(),
      coldNotices: () => coldBus.stream(),
      broadcastFacts: () => undefined,
      sendFactsTo: send,
      replyTo: ({host: to}: Address, facts: PeerFacts) => send(to, facts),
    } as unknown as PeerNotices;
    const configStore = {
      current: {findService: () => ({coldRatePerS: RATE_PER_S})},
    } as unknown as ConfigStore;
    const cold = new ColdBackends({
      bounds: BOUNDS,
      notices,
      backends: pool,
      configStore,
      now: () => clockMs,
    });
    const limits = new RequestLimitManager({
      id,
      notices,
      backends: pool,
      metrics: {countPermit: () => undefined},
      cold,
      hostIds: () => host.roster,
      now: () => clockMs,
    });
    const host: Host = {id, pool, cold, limits, bus, coldBus, roster, side: 0};
    hosts.set(id, host);
    return host;
  }

  function createHosts(count: number): Host[] {
    const ids = Array.from({length: count}, (_, index) => `h${index}`);
    return ids.map(id => createHost(id, ids));
  }

  function reportCold({pool}: Host): void {
    pool.apply(
      reported(createPresence({id: ID, sequence: 2, coldForMs: COLD_MS})),
    );
  }

  function acquire({pool, limits}: Host): Promise<boolean> {
    return limits.acquire('r', [pool.get(ID)!]);
  }

  /** The host that comes second for the backend server. */
  function deputyOf(ownerId: string): string {
    const ids = [...hosts.keys()].filter(id => id !== ownerId);
    return chooseOwner(ID, ids)!;
  }

  const SPLITS = [
    {name: 'that all reach each other', sides: 1, isRosterSplit: false},
    {name: 'that are cut in two', sides: 2, isRosterSplit: false},
    {
      name: 'that are cut in two and know their side alone',
      sides: 2,
      isRosterSplit: true,
    },
  ];
  for (const count of [1, 75, 145])
    for (const {name, sides, isRosterSplit} of SPLITS)
      it(`are within the bound for ${count} hosts ${name}`, async () => {
        const all = createHosts(count);
        all.forEach((host, index) => {
          host.side = index % sides;
          reportCold(host);
        });
        if (isRosterSplit)
          for (const host of all)
            host.roster = all
              .filter(({side}) => side === host.side)
              .map(({id}) => id);
        const grantedMs: number[] = [];
        const asked: Array<Promise<void>> = [];
        for (let round = 0; round < ROUNDS; round++) {
          clockMs += ROUND_MS;
          const host = all[(round * 7) % count]!;
          asked.push(
            acquire(host).then(isGranted => {
              if (isGranted) grantedMs.push(clockMs);
            }),
          );
          await deliver();
        }
        await Promise.all(asked);
        assert.ok(grantedMs.length > 0);
        const most = mostInSecond(grantedMs);
        assert.ok(most <= MAX_PER_S, `${most} permits in a second`);
      });

  it('are required on hosts that peers have told, when half of them know', async () => {
    const all = createHosts(20);
    const [known, unknown] = [all.slice(0, 10), all.slice(10)];
    for (const host of known) reportCold(host);
    await deliver();
    for (const [index, {coldBus}] of unknown.entries())
      coldBus.emit(known[index]!.cold.takeFacts()!.cold!);
    await deliver();
    for (const {pool, limits} of all)
      assert.ok(limits.requiresPermit(pool.get(ID)!));
  });

  const OWNER_CASES: ReadonlyArray<{
    readonly name: string;
    readonly change: (host: Host, owner: Host) => void;
    readonly isGranted: boolean;
  }> = [
    {
      name: 'an owner that does not know that it is cold',
      change: () => undefined,
      isGranted: true,
    },
    {
      name: 'an owner that is out of reach and a deputy that is not',
      change: (_, owner) => void (owner.side = 1),
      isGranted: true,
    },
    {
      name: 'an owner and a deputy that are out of reach',
      change: host => void (host.side = 1),
      isGranted: false,
    },
    {
      name: 'an owner out of reach and a deputy that takes others for issuers',
      change: ({roster}, owner) => {
        owner.side = 1;
        const deputy = hosts.get(deputyOf(owner.id))!;
        deputy.roster = roster.filter(id => id !== deputy.id);
      },
      isGranted: false,
    },
    {
      name: 'no owner, as it knows no hosts',
      change: host => void (host.roster = []),
      isGranted: false,
    },
    {
      name: 'an owner that knows another incarnation',
      change: (_, {pool}) =>
        pool.apply(reported(createPresence({id: ID, incarnation: 2}))),
      isGranted: false,
    },
  ];
  for (const {name, change, isGranted} of OWNER_CASES)
    it(`are ${isGranted ? 'issued' : 'denied'} to a host with ${name}`, async () => {
      const all = createHosts(7);
      const ownerId = chooseOwner(
        ID,
        all.map(({id}) => id),
      )!;
      const owner = hosts.get(ownerId)!;
      const host = all.find(
        ({id}) => id !== ownerId && id !== deputyOf(ownerId),
      )!;
      reportCold(host);
      change(host, owner);
      await deliver();
      // An owner begins without permits.
      await acquire(host);
      clockMs += MS_PER_SECOND;
      const granted = await acquire(host);
      assert.equal(granted, isGranted);
    });

  it('are not required once the cold stretch is over', async () => {
    const [host] = createHosts(1);
    reportCold(host!);
    const backend = host!.pool.get(ID)!;
    assert.ok(host!.limits.requiresPermit(backend));
    clockMs += COLD_MS;
    assert.equal(host!.limits.requiresPermit(backend), false);
    assert.equal(host!.limits.isLimited(backend), false);
    assert.equal(host!.cold.size, 0);
    assert.equal(host!.cold.takeFacts(), undefined);
  });

  it('tell all cold backend servers in turn', () => {
    const [host] = createHosts(1);
    const ids = Array.from({length: 23}, (_, index) => `cold${index}`);
    host!.pool.apply(
      reported(
        ...ids.map((id, index) =>
          createPresence({
            id,
            address: {host: id, port: index + 1},
            coldForMs: COLD_MS,
          }),
        ),
      ),
    );
    const told = new Set<string>();
    for (let notice = 0; notice < 3; notice++)
      for (const {backend} of host!.cold.takeFacts()!.cold!.facts)
        told.add(backend);
    assert.deepEqual([...told].sort(), ids.sort());
  });
});

describe('notices about cold backend servers', () => {
  const fact = {backend: ID, incarnation: 1, sequence: 2, leftMs: 900};
  const notice = {
    from: 'a',
    work: '',
    relay: false,
    placed: [],
    ended: [],
    departures: {facts: [{backend: 'e2', incarnation: 1}]},
    limits: {facts: [], coldPermitRequest: {id: 1, cold: fact}},
    cold: {facts: [fact]},
  };
  /** As hosts of the build before read them. */
  const earlierSchema = placementNoticeSchema.omit({cold: true}).extend({
    limits: requestLimitNoticeSchema.omit({coldPermitRequest: true}).optional(),
  });

  it('are read by hosts of an earlier version without what is new', () => {
    const parsed = earlierSchema.parse(notice);
    assert.deepEqual(parsed.limits, {facts: []});
    assert.deepEqual(parsed.departures, notice.departures);
    assert.ok(!('cold' in parsed));
  });

  it('of hosts of an earlier version are read as about none', () => {
    const {cold: _, limits: __, ...earlier} = notice;
    const parsed = placementNoticeSchema.parse(earlier);
    assert.equal(parsed.cold, undefined);
    assert.deepEqual(parsed.departures, notice.departures);
  });
});
