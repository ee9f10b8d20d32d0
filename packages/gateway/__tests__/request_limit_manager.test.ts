import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {chooseOwner} from '@vanillamux/routing';
import {EventBus, monotonicMs, sleep, type Address} from '@vanillamux/shared';
import {BackendPool} from '../src/fleet/backend_pool.js';
import type {PeerFacts} from '../src/peers/peer_facts.js';
import type {PeerNotices} from '../src/peers/peer_notices.js';
import type {ReceivedLimitNotice} from '../src/peers/received_limit_notice.js';
import {RequestLimitManager} from '../src/request_limits/request_limit_manager.js';
import {createPresence, reported} from './create_backend.js';

const BACKEND = 'e1';
const IDS = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
const OWNER = chooseOwner(BACKEND, IDS)!;
const OTHERS = IDS.filter(id => id !== OWNER);
const LIMIT_PER_S = 4;
const LOAD_MS = 2_000;
const WAIT_LIMIT_MS = 20_000;
const SEEDS = [1, 2, 3];

interface Host {
  readonly id: string;
  readonly pool: BackendPool;
  readonly bus: EventBus<ReceivedLimitNotice>;
  readonly manager: RequestLimitManager;
  hostIds: readonly string[];
  isReachable: boolean;
}

describe('RequestLimitManager', () => {
  const hosts: Host[] = [];

  afterEach(() => void hosts.splice(0));

  function createHost(id: string): Host {
    const bus = new EventBus<ReceivedLimitNotice>();
    const address = {host: id, port: 1};
    const pool = new BackendPool();
    pool.apply(reported(createPresence({id: BACKEND})));
    const state = {id, pool, bus, hostIds: IDS, isReachable: true};
    const deliver = (receivers: Host[], {limits}: PeerFacts): void => {
      if (!limits || !state.isReachable) return;
      for (const receiver of receivers) {
        if (receiver.id === id || !receiver.isReachable) continue;
        setImmediate(() =>
          receiver.bus.emit({replyTo: address, notice: limits}),
        );
      }
    };
    const notices = {
      limitNotices: () => bus.stream(),
      broadcastFacts: (facts: PeerFacts) => deliver(hosts, facts),
      sendFacts: (facts: PeerFacts) => deliver(hosts, facts),
      sendFactsTo: (peer: string, facts: PeerFacts) =>
        deliver(
          hosts.filter(other => other.id === peer),
          facts,
        ),
      replyTo: ({host}: Address, facts: PeerFacts) =>
        deliver(
          hosts.filter(other => other.id === host),
          facts,
        ),
    } as unknown as PeerNotices;
    const manager = new RequestLimitManager({
      id,
      notices,
      backends: pool,
      metrics: {countPermit: () => undefined},
      hostIds: () => state.hostIds,
    });
    const host: Host = Object.assign(state, {manager});
    hosts.push(host);
    return host;
  }

  function backendOf({pool}: Host) {
    return pool.get(BACKEND)!;
  }

  function acquire(host: Host): Promise<boolean> {
    return host.manager.acquire('r', [backendOf(host)]);
  }

  async function waitUntil(check: () => boolean): Promise<void> {
    const endMs = monotonicMs() + WAIT_LIMIT_MS;
    while (!check()) {
      assert.ok(monotonicMs() < endMs, 'the condition was not met in time');
      await sleep(1);
    }
  }

  async function createHosts(): Promise<Map<string, Host>> {
    const byId = new Map(IDS.map(id => [id, createHost(id)]));
    const first = byId.get(OTHERS[0]!)!;
    first.manager.learn(backendOf(first), LIMIT_PER_S, monotonicMs());
    await waitUntil(() => hosts.every(({manager}) => manager.size === 1));
    return byId;
  }

  for (const seed of SEEDS) {
    it(`keeps hosts that lose each other below the limit, seed ${seed}`, async () => {
      await createHosts();
      let random = seed;
      const draw = (count: number): number => {
        random = (random * 48_271) % 2_147_483_647;
        return random % count;
      };
      const startMs = monotonicMs();
      let granted = 0;
      const asked: Array<Promise<void>> = [];
      // On a busy machine replies are late, and it takes longer until one counts.
      const mustGoOn = (): boolean => {
        const loadMs = monotonicMs() - startMs;
        return loadMs < LOAD_MS || (granted === 0 && loadMs < WAIT_LIMIT_MS);
      };
      while (mustGoOn()) {
        const host = hosts[draw(hosts.length)]!;
        if (draw(10) === 0) host.isReachable = !host.isReachable;
        if (draw(30) === 0) host.hostIds = draw(2) === 0 ? IDS : [];
        asked.push(
          acquire(host).then(isGranted => void (granted += +isGranted)),
        );
        await sleep(1);
      }
      await Promise.all(asked);
      const seconds = (monotonicMs() - startMs) / 1_000;
      assert.ok(granted > 0);
      assert.ok(granted <= LIMIT_PER_S * seconds + 1, `${granted} granted`);
    });
  }

  const DENIED_CASES: ReadonlyArray<{
    readonly name: string;
    readonly change: (host: Host, owner: Host) => void;
  }> = [
    {
      name: 'that does not know the entry hosts yet',
      change: host => (host.hostIds = []),
    },
    {
      name: 'whose owner does not reply',
      change: (_, owner) => (owner.isReachable = false),
    },
    {
      name: 'that takes another host for the owner',
      change: host => (host.hostIds = OTHERS.slice(1)),
    },
  ];
  for (const {name, change} of DENIED_CASES) {
    it(`grants nothing to a host ${name}, and names a time`, async () => {
      const byId = await createHosts();
      const host = byId.get(OTHERS[0]!)!;
      change(host, byId.get(OWNER)!);
      assert.equal(await acquire(host), false);
      const backend = backendOf(host);
      assert.ok(host.manager.waitMs(backend, monotonicMs()) > 0);
    });
  }

  it('tells a host that has just started of a limit, and of its end', async () => {
    const byId = await createHosts();
    const late = createHost('late');
    const teller = byId.get(OTHERS[0]!)!;
    const {limits} = teller.manager.takeFacts()!;
    late.bus.emit({replyTo: {host: teller.id, port: 1}, notice: limits!});
    await waitUntil(() => late.manager.size === 1);
    teller.manager.learn(backendOf(teller), undefined, monotonicMs());
    await waitUntil(() => hosts.every(({manager}) => manager.size === 0));
  });

  it('forgets the limit of a backend server that has started again', async () => {
    const byId = await createHosts();
    const {pool, manager} = byId.get(OTHERS[0]!)!;
    pool.apply(reported(createPresence({id: BACKEND, incarnation: 2})));
    assert.equal(manager.isLimited(pool.get(BACKEND)!), false);
    await waitUntil(() => manager.size === 0);
  });
});
