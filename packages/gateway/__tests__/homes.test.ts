import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RouteTable} from '../src/config/route_table.js';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {allowedRegions} from '../src/homes/allowed_regions.js';
import {HomePolicy, type HomeQuery} from '../src/homes/home_policy.js';
import type {GatewayComponents} from '../src/request/gateway_components.js';
import {RequestCandidates} from '../src/request/request_candidates.js';
import {createBackends, createPresence, reported} from './create_backend.js';
import {createConfig, createRoute} from './create_config.js';

const REGIONS = {a: 'north', b: 'north', c: 'south'};
const DOMAINS = [...Object.keys(REGIONS), 'unknown', 'constructor'];

type Regions = readonly string[] | undefined;

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly route?: Regions;
  readonly workspace?: Regions;
  readonly allowed: Regions;
  readonly domains: readonly string[];
}> = [
  {name: 'none named', allowed: undefined, domains: DOMAINS},
  {
    name: 'the route alone',
    route: ['north'],
    allowed: ['north'],
    domains: ['a', 'b'],
  },
  {
    name: 'the workspace alone',
    workspace: ['south'],
    allowed: ['south'],
    domains: ['c'],
  },
  {
    name: 'both',
    route: ['north', 'south'],
    workspace: ['south', 'west'],
    allowed: ['south'],
    domains: ['c'],
  },
  {
    name: 'both, nothing in common',
    route: ['north'],
    workspace: ['south'],
    allowed: [],
    domains: [],
  },
  {name: 'an unknown region', route: ['west'], allowed: ['west'], domains: []},
];

function createTable(
  route: Regions,
  workspace: Regions,
  keys: readonly string[] = ['key'],
): RouteTable {
  return new RouteTable(
    createConfig({
      routes: [createRoute({regions: route})],
      workspaces: [{name: 'w', keys, priority: 0, regions: workspace}],
    }),
  );
}

/** A request that was admitted with some regions. */
function createQuery(regions: Regions): HomeQuery {
  return {
    req: {headers: {host: 'main.example'}, url: '/x'},
    metadata: {key: 'key'},
    workspace: 'w',
    regions,
  } as unknown as HomeQuery;
}

function usableDomains(current: RouteTable, regions: Regions): string[] {
  const policy = new HomePolicy({
    configStore: {current},
    regionByFailureDomain: REGIONS,
  });
  const query = createQuery(regions);
  return DOMAINS.filter(domain => policy.mayUse(query, domain));
}

describe('the homes of a request', () => {
  for (const {name, route, workspace, allowed, domains} of CASES) {
    it(`are those of ${name}`, () => {
      assert.deepEqual(
        allowedRegions({regions: route}, {regions: workspace}),
        allowed,
      );
      const table = createTable(route, workspace);
      assert.deepEqual(usableDomains(table, allowed), domains);
    });
  }

  it('follow a new configuration while the request is tried again', () => {
    const moved = createTable(undefined, ['south']);
    assert.deepEqual(usableDomains(moved, ['north']), ['c']);
    assert.deepEqual(usableDomains(moved, undefined), ['c']);
    const freed = createTable(undefined, undefined);
    assert.deepEqual(usableDomains(freed, ['north']), DOMAINS);
  });

  it('stay as admitted once the key is taken away', () => {
    const revoked = createTable(undefined, ['south'], ['other key']);
    assert.deepEqual(usableDomains(revoked, ['north']), ['a', 'b']);
  });

  it('leave out backend servers, and entry hosts that would relay', () => {
    const backends = new BackendPool();
    const presences = ['a', 'c'].map(failureDomain =>
      createPresence({id: failureDomain, failureDomain}),
    );
    backends.apply(reported(...presences));
    const candidates = new RequestCandidates({
      components: {
        backends,
        requestLimits: {waitMs: () => 0, isLimited: () => false},
      } as unknown as GatewayComponents,
      service: 'notes',
      requestId: 'r',
      mayUse: domain => domain === 'c',
    });
    const ids = candidates.list(0).map(({presence}) => presence.id);
    assert.deepEqual(ids, ['c']);
    const [peerElsewhere] = createBackends(1);
    assert.ok(candidates.isExcluded(peerElsewhere!));
  });
});
