import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkConfig, type GatewayConfig} from '../src/index.js';
import {chooseTarget} from '../src/config/choose_target.js';
import {RouteTable} from '../src/config/route_table.js';
import {createConfig, createRoute} from './create_config.js';

describe('RouteTable', () => {
  const table = new RouteTable(
    createConfig({
      routes: [
        createRoute({name: 'all', pathPrefix: '/'}),
        createRoute({name: 'a', pathPrefix: '/a/'}),
        createRoute({name: 'ab', pathPrefix: '/a/b/'}),
        createRoute({name: 'other', host: 'other.example', pathPrefix: '/x/'}),
      ],
    }),
  );
  const CASES: Array<[string, string, string | undefined]> = [
    ['main.example', '/a/b/c', 'ab'],
    ['main.example', '/a/b', 'a'],
    ['main.example', '/a/b/', 'ab'],
    ['main.example', '/a?x=/a/b/', 'all'],
    ['main.example', '/a/?x=/b/', 'a'],
    ['MAIN.example:8080', '/a/b/c', 'ab'],
    ['other.example', '/a/', undefined],
    ['other.example', '/x/y', 'other'],
    ['unknown.example', '/', undefined],
    ['', '/', undefined],
  ];
  for (const [host, path, expected] of CASES) {
    it(`matches ${host || 'no host'}${path} with ${expected ?? 'nothing'}`, () => {
      assert.equal(table.match(host, path)?.name, expected);
    });
  }
});

describe('the keys of a RouteTable', () => {
  const desk = {name: 'desk', priority: 1};
  const CASES: ReadonlyArray<{
    readonly name: string;
    readonly workspaces?: GatewayConfig['workspaces'];
    readonly requiresKeys: boolean;
  }> = [
    {name: 'a list of workspaces is missing', requiresKeys: false},
    {name: 'it is empty', workspaces: [], requiresKeys: true},
    {
      name: 'no workspace has a key',
      workspaces: [{...desk, keys: []}],
      requiresKeys: true,
    },
    {
      name: 'a key is empty',
      workspaces: [{...desk, keys: ['']}],
      requiresKeys: true,
    },
  ];
  for (const {name, workspaces, requiresKeys} of CASES) {
    it(`are ${requiresKeys ? '' : 'not '}required if ${name}`, () => {
      const keyTable = new RouteTable(createConfig({workspaces}));
      assert.equal(keyTable.requiresKeys, requiresKeys);
      assert.equal(keyTable.findWorkspace(undefined), undefined);
    });
  }
});

describe('checkConfig', () => {
  const duplicated = createRoute({});
  const CASES = [
    {name: 'nothing wrong', config: createConfig({}), fields: []},
    {
      name: 'an unknown service',
      config: createConfig({
        routes: [createRoute({targets: [{service: 'none', weight: 1}]})],
      }),
      fields: ['routes.0.targets'],
    },
    {
      name: 'the same host and prefix twice',
      config: createConfig({
        routes: [duplicated, {...duplicated, name: 'again'}],
      }),
      fields: ['routes.1.pathPrefix'],
    },
    {
      name: 'weights that add up to 0',
      config: createConfig({
        routes: [createRoute({targets: [{service: 'notes', weight: 0}]})],
      }),
      fields: ['routes.0.targets'],
    },
    {
      name: 'no targets',
      config: createConfig({routes: [createRoute({targets: []})]}),
      fields: ['routes.0.targets'],
    },
    {
      name: 'a timeout of 0 ms',
      config: createConfig({routes: [createRoute({timeoutMs: 0})]}),
      fields: ['routes.0.timeoutMs'],
    },
    {
      name: 'a key of two workspaces',
      config: createConfig({
        workspaces: [
          {name: 'a', keys: ['k'], priority: 1},
          {name: 'b', keys: ['k'], priority: 1},
        ],
      }),
      fields: ['workspaces.1.keys'],
    },
  ];
  for (const {name, config, fields} of CASES) {
    it(`finds ${name}`, () => {
      assert.deepEqual(
        checkConfig(config).map(({field}) => field),
        fields,
      );
    });
  }
});

describe('chooseTarget', () => {
  const route = createRoute({
    targets: [
      {service: 'old', weight: 90},
      {service: 'none', weight: 0},
      {service: 'new', weight: 10},
    ],
  });
  const CASES: Array<[number, string]> = [
    [0, 'old'],
    [0.899, 'old'],
    [0.9, 'new'],
    [0.999, 'new'],
  ];
  for (const [random, expected] of CASES) {
    it(`chooses ${expected} at ${random}`, () => {
      assert.equal(chooseTarget(route, random), expected);
    });
  }
});
