import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BackendRegistry, type RegistryUpdate} from '@vanillamux/control';
import {PresenceTable} from '@vanillamux/membership';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {createPresence} from './create_backend.js';

const {Ready, Draining, Silent, Gone} = PresenceState;
const HEARTBEAT_MS = 1_200;
const MINUTE_MS = 60_000;
const ID = 'w';

/** Control hosts `a` and `b`, a backend server, and an entry host. */
class Scene {
  nowMs = 0;
  readonly pool = new BackendPool(() => this.nowMs);
  /** The entry host of an earlier version. */
  readonly earlierTable = new PresenceTable(() => this.nowMs);
  /** Control host that the backend server reports to, while it is up. */
  home?: 'a' | 'b' = 'a';
  phase: PresenceState = Ready;
  incarnation = 1;
  sequence = 0;
  readonly suspended = new Set<string>();
  /** Control hosts that the entry host can't reach. */
  readonly cutOff = new Set<string>();
  /** Control hosts of an earlier version: absence is `Gone` after a minute. */
  readonly earlier = new Set<string>();
  private readonly registries = new Map<string, BackendRegistry>();
  private readonly positions = new Map<string, RegistryUpdate>();
  private readonly heardMs = new Map<string, number>();

  constructor() {
    this.restart('a');
    this.restart('b');
  }

  restart(host: string): void {
    const registry = new BackendRegistry({
      heartbeatMs: HEARTBEAT_MS,
      now: () => this.nowMs,
    });
    this.registries.set(host, registry);
  }

  beat(host = this.home): void {
    if (!host) return;
    const {incarnation, phase} = this;
    const sequence = ++this.sequence;
    this.heardMs.set(host, this.nowMs);
    this.registries
      .get(host)!
      .receive(createPresence({id: ID, incarnation, sequence, state: phase}));
  }

  deregister(host: string): void {
    this.home = undefined;
    this.registries.get(host)!.deregister(ID, this.incarnation);
  }

  /** Lets time pass; the entry host polls each control host in between. */
  advance(ms: number): void {
    for (let at = 0; at < ms; at += HEARTBEAT_MS) {
      this.nowMs += HEARTBEAT_MS;
      if (this.home && !this.suspended.has(this.home)) this.beat();
      for (const [host, registry] of this.registries) {
        if (this.suspended.has(host)) continue;
        registry.expire();
        this.poll(host);
      }
    }
  }

  poll(host: string): void {
    if (this.cutOff.has(host)) return;
    const known = this.positions.get(host);
    const update = this.registries
      .get(host)!
      .changesSince(known?.registryId ?? '', known?.position ?? 0);
    this.positions.set(host, update);
    const reports = this.earlier.has(host)
      ? [...update.reports.map(withoutNewFields), ...this.absence(host)]
      : update.reports;
    this.pool.apply({from: host, registryId: update.registryId, reports});
    for (const report of reports) this.earlierTable.apply(report);
  }

  get state(): PresenceState {
    return this.pool.get(ID)?.presence.state ?? Gone;
  }

  private absence(host: string): Presence[] {
    const silentMs = this.nowMs - (this.heardMs.get(host) ?? Infinity);
    if (silentMs < MINUTE_MS) return [];
    const [known] = this.registries.get(host)!.changesSince('', 0).reports;
    return known ? [withoutNewFields({...known, state: Gone})] : [];
  }
}

function withoutNewFields(report: Presence): Presence {
  const {isConfirmed, ...fields} = report;
  return fields;
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly play: (scene: Scene) => void;
  readonly expected: PresenceState;
}> = [
  {
    name: 'stays ready when it has moved to another control host',
    play: scene => {
      scene.home = 'b';
      scene.advance(3 * MINUTE_MS);
    },
    expected: Ready,
  },
  {
    name: 'stays ready when it moves while its control host is suspended',
    play: scene => {
      scene.suspended.add('a');
      scene.home = 'b';
      scene.advance(4_000);
      scene.suspended.clear();
      scene.advance(2 * MINUTE_MS);
    },
    expected: Ready,
  },
  {
    name: 'stays ready when a late heartbeat reaches its former control host',
    play: scene => {
      scene.home = 'b';
      scene.advance(4_000);
      scene.beat('a');
      scene.advance(2 * MINUTE_MS);
    },
    expected: Ready,
  },
  {
    name: 'is ready when it moves back after a minute',
    play: scene => {
      scene.home = 'b';
      scene.advance(3 * MINUTE_MS);
      scene.home = 'a';
      scene.advance(3 * MINUTE_MS);
    },
    expected: Ready,
  },
  {
    name: 'is silent soon after it ended without a word',
    play: scene => {
      scene.home = undefined;
      scene.advance(6 * HEARTBEAT_MS);
    },
    expected: Silent,
  },
  {
    name: 'is gone a minute after it ended without a word',
    play: scene => {
      scene.home = undefined;
      scene.advance(MINUTE_MS + 8 * HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'comes back when it is heard again after it was given up',
    play: scene => {
      scene.home = undefined;
      scene.advance(3 * MINUTE_MS);
      scene.home = 'b';
      scene.advance(HEARTBEAT_MS);
    },
    expected: Ready,
  },
  {
    name: 'is gone a minute after it ended together with its control host',
    play: scene => {
      scene.home = undefined;
      scene.restart('a');
      scene.advance(MINUTE_MS + 2 * HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'is gone a minute after it ended and its control host left the group',
    play: scene => {
      scene.home = undefined;
      scene.suspended.add('a');
      scene.pool.removeControlHost('a');
      scene.advance(MINUTE_MS + 2 * HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'stays known while the entry host alone is cut off from its control host',
    play: scene => {
      scene.cutOff.add('a');
      scene.advance(3 * MINUTE_MS);
    },
    expected: Silent,
  },
  {
    name: 'is ready once the entry host reaches its control host again',
    play: scene => {
      scene.cutOff.add('a');
      scene.advance(3 * MINUTE_MS);
      scene.cutOff.clear();
      scene.advance(HEARTBEAT_MS);
    },
    expected: Ready,
  },
  {
    name: 'stays ready when the entry host is cut off from all control hosts',
    play: scene => {
      scene.cutOff.add('a').add('b');
      scene.advance(3 * MINUTE_MS);
      scene.cutOff.delete('b');
      scene.advance(HEARTBEAT_MS);
    },
    expected: Ready,
  },
  {
    name: 'is gone when it deregisters',
    play: scene => {
      scene.deregister('a');
      scene.advance(HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'is gone when it deregisters after it has moved',
    play: scene => {
      scene.home = 'b';
      scene.advance(2 * HEARTBEAT_MS);
      scene.deregister('a');
      scene.advance(HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'is gone when it deregisters where it is not known',
    play: scene => {
      scene.deregister('b');
      scene.advance(HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'stays gone when a late heartbeat follows its deregistration',
    play: scene => {
      scene.deregister('b');
      scene.advance(HEARTBEAT_MS);
      scene.beat('a');
      scene.advance(HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'drains when its former control host no longer hears it',
    play: scene => {
      scene.home = 'b';
      scene.phase = Draining;
      scene.advance(20 * HEARTBEAT_MS);
    },
    expected: Draining,
  },
  {
    name: 'stays ready when a control host of an earlier version says it is gone',
    play: scene => {
      scene.earlier.add('a');
      scene.home = 'b';
      scene.advance(3 * MINUTE_MS);
    },
    expected: Ready,
  },
  {
    name: 'is ready at a new control host that an earlier version says is gone',
    play: scene => {
      scene.earlier.add('a');
      scene.home = undefined;
      scene.advance(2 * MINUTE_MS);
      scene.home = 'b';
      scene.advance(2 * MINUTE_MS);
    },
    expected: Ready,
  },
  {
    name: 'is gone when it deregisters at a control host of an earlier version',
    play: scene => {
      scene.earlier.add('a');
      scene.deregister('a');
      scene.advance(HEARTBEAT_MS);
    },
    expected: Gone,
  },
  {
    name: 'is ready as a new incarnation after it deregistered',
    play: scene => {
      scene.deregister('a');
      scene.advance(HEARTBEAT_MS);
      scene.incarnation = 2;
      scene.home = 'b';
      scene.advance(HEARTBEAT_MS);
    },
    expected: Ready,
  },
];

// One control host's silence must not end a server that another one hears.
describe('a backend server in the reports of two control hosts', () => {
  for (const {name, play, expected} of CASES) {
    it(name, () => {
      const scene = new Scene();
      scene.advance(2 * HEARTBEAT_MS);
      assert.equal(scene.state, Ready);
      play(scene);
      assert.equal(scene.state, expected);
    });
  }

  it('stays ready for an entry host of an earlier version when it moves', () => {
    const scene = new Scene();
    scene.advance(2 * HEARTBEAT_MS);
    scene.home = 'b';
    scene.advance(3 * MINUTE_MS);
    assert.equal(scene.earlierTable.get(ID)?.state, Ready);
  });

  it('is gone for an entry host of an earlier version when it deregisters where it is not known', () => {
    const scene = new Scene();
    scene.advance(2 * HEARTBEAT_MS);
    scene.deregister('b');
    scene.advance(HEARTBEAT_MS);
    assert.equal(scene.earlierTable.get(ID)?.state, Gone);
  });

  it('leaves nothing behind when many incarnations end without a word', () => {
    const scene = new Scene();
    for (let count = 0; count < 5; count++) {
      scene.home = 'a';
      scene.incarnation++;
      scene.advance(HEARTBEAT_MS);
      scene.home = undefined;
      scene.advance(3 * MINUTE_MS);
    }
    assert.equal(scene.pool.list().length, 0);
  });
});
