import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {PresenceState, type EvacuationView} from '@vanillamux/protocol';
import {EventBus} from '@vanillamux/shared';
import fc from 'fast-check';
import {EmptiedDomains} from '../src/evacuation/emptied_domains.js';
import {EvacuationManager} from '../src/evacuation/evacuation_manager.js';
import {Backend} from '../src/fleet/backend.js';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {placementNoticeSchema} from '../src/peers/placement_notice_schema.js';
import type {PlacementDecision} from '../src/placement/placement_decision.js';
import type {GatewayComponents} from '../src/request/gateway_components.js';
import {RequestCandidates} from '../src/request/request_candidates.js';
import {createPresence, reported} from './create_backend.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 300);
const property = {numRuns: RUNS, seed: 20_261_206};
const {Ready, Silent, Draining} = PresenceState;

interface KnownServer {
  readonly domain: string;
  readonly state?: PresenceState;
}

/** Pool with servers `s0`, `s1`, … of a service, and some emptied domains. */
function createPool(
  servers: readonly KnownServer[],
  emptied: readonly string[],
): BackendPool {
  const pool = new BackendPool();
  const reports = servers.map(({domain, state = Ready}, at) =>
    createPresence({id: `s${at}`, failureDomain: domain, state}),
  );
  pool.apply(reported(...reports));
  if (emptied.length > 0)
    pool.emptied.update({revision: 1, failureDomains: [...emptied]});
  return pool;
}

const POOLS: ReadonlyArray<{
  readonly name: string;
  readonly servers: readonly KnownServer[];
  readonly emptied: readonly string[];
  readonly expected: readonly string[];
  readonly isEmptied: boolean;
}> = [
  {
    name: 'no order',
    servers: [{domain: 'a'}, {domain: 'b'}],
    emptied: [],
    expected: ['s0', 's1'],
    isEmptied: false,
  },
  {
    name: 'one of two domains emptied',
    servers: [{domain: 'a'}, {domain: 'b'}, {domain: 'b'}],
    emptied: ['b'],
    expected: ['s0'],
    isEmptied: false,
  },
  {
    name: 'a domain emptied that has no servers',
    servers: [{domain: 'a'}],
    emptied: ['b'],
    expected: ['s0'],
    isEmptied: false,
  },
  {
    name: 'both emptied',
    servers: [{domain: 'a'}, {domain: 'b'}],
    emptied: ['a', 'b'],
    expected: [],
    isEmptied: true,
  },
  {
    name: 'silent servers alone outside of the emptied domain',
    servers: [{domain: 'a', state: Silent}, {domain: 'b'}],
    emptied: ['b'],
    expected: ['s0'],
    isEmptied: false,
  },
  {
    name: 'draining servers alone outside of the emptied domain',
    servers: [{domain: 'a', state: Draining}, {domain: 'b'}],
    emptied: ['b'],
    expected: [],
    isEmptied: true,
  },
  {
    name: 'no server at all, which may still come',
    servers: [],
    emptied: ['a'],
    expected: [],
    isEmptied: false,
  },
];

describe('the backend servers of a service', () => {
  for (const {name, servers, emptied, expected, isEmptied} of POOLS) {
    it(`follow the order with ${name}`, () => {
      const pool = createPool(servers, emptied);
      const ids = pool.candidates('notes').map(({presence}) => presence.id);
      assert.deepEqual(ids, expected);
      assert.equal(pool.isEmptied('notes'), isEmptied);
    });
  }

  it('are used again once the domain is taken back', () => {
    const pool = createPool([{domain: 'a'}], ['a']);
    pool.emptied.update({revision: 2, failureDomains: []});
    assert.equal(pool.candidates('notes').length, 1);
  });
});

describe('a placement that waits to be sent', () => {
  const [kept, emptied] = ['a', 'b'].map(
    failureDomain =>
      new Backend(createPresence({id: failureDomain, failureDomain})),
  ) as [Backend, Backend];
  const none = {backend: kept, helpers: [], memory: [], work: []};
  const DECISIONS: ReadonlyArray<{
    readonly name: string;
    readonly decision: PlacementDecision;
    readonly isOutdated: boolean;
  }> = [
    {name: 'elsewhere', decision: none, isOutdated: false},
    {
      name: 'there',
      decision: {...none, backend: emptied},
      isOutdated: true,
    },
    {
      name: 'with a helper there',
      decision: {...none, helpers: [emptied]},
      isOutdated: true,
    },
    {
      name: 'with memory there',
      decision: {...none, memory: [{backend: emptied, tokens: 1}]},
      isOutdated: true,
    },
    {
      name: 'by an entry host that is there',
      decision: {...none, backend: emptied, isRelay: true},
      isOutdated: false,
    },
  ];
  for (const {name, decision, isOutdated} of DECISIONS) {
    it(`is ${isOutdated ? 'made anew' : 'sent'} ${name}`, () => {
      const backends = createPool([], ['b']);
      const candidates = new RequestCandidates({
        components: {backends} as unknown as GatewayComponents,
        service: 'notes',
        requestId: 'r',
        mayUse: () => true,
      });
      assert.equal(candidates.isOutdated(decision, 0), isOutdated);
    });
  }
});

describe('the view of the emptied domains', () => {
  it('never goes back, in whatever order the hosts tell it', () => {
    const views: readonly EvacuationView[] = Array.from(
      {length: 8},
      (_, revision) => ({revision, failureDomains: [`d${revision}`]}),
    );
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...views)), told => {
        const domains = new EmptiedDomains();
        let newest = 0;
        for (const view of told) {
          assert.equal(domains.update(view), view.revision > newest);
          newest = Math.max(newest, view.revision);
          assert.equal(domains.revision, newest);
        }
      }),
      property,
    );
  });

  it('is learned from a peer, and passed on', async () => {
    const notices = new EventBus<EvacuationView>();
    const emptied = new EmptiedDomains();
    const manager = new EvacuationManager({
      notices: {evacuationNotices: () => notices.stream()},
      emptied,
    });
    assert.equal(manager.takeFacts(), undefined);
    await setImmediate();
    const view = {revision: 3, failureDomains: ['a']};
    notices.emit(view);
    await setImmediate();
    manager.learn({revision: 2, failureDomains: []}, 'control');
    assert.deepEqual(manager.takeFacts(), {evacuation: view});
  });
});

describe('a notice between builds', () => {
  const notice = {from: 'h', work: '', relay: false, placed: [], ended: []};
  const evacuation = {revision: 1, failureDomains: ['a']};

  it('is read by the build before without the field', () => {
    const schemaBefore = placementNoticeSchema.omit({evacuation: true});
    assert.deepEqual(schemaBefore.parse({...notice, evacuation}), notice);
  });

  it('is read from the build before', () => {
    assert.deepEqual(placementNoticeSchema.parse(notice), notice);
  });

  it('of this build has the view', () => {
    const read = placementNoticeSchema.parse({...notice, evacuation});
    assert.deepEqual(read.evacuation, evacuation);
  });
});
