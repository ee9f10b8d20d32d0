import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {AdmissionPolicies} from '../src/admission/admission_policies.js';
import {AdmissionPolicyName} from '../src/admission/admission_policy_name.js';
import {BacklogAdmissionPolicy} from '../src/admission/backlog_admission_policy.js';
import {LeastCostAdmissionPolicy} from '../src/admission/least_cost_admission_policy.js';
import {OpenAdmissionPolicy} from '../src/admission/open_admission_policy.js';
import {createConfig, createRoute} from './create_config.js';

const RANKED = [createRoute({priority: 0}), createRoute({priority: 2})];
const OTHER = [{service: 'other', weight: 1}];

const CASES = [
  {
    name: 'equal priorities',
    routes: [createRoute({}), createRoute({})],
    policy: BacklogAdmissionPolicy,
  },
  {
    name: 'routes of one service that differ in priority',
    routes: RANKED,
    policy: LeastCostAdmissionPolicy,
  },
  {
    name: 'routes of two services that differ in priority',
    routes: [RANKED[0]!, createRoute({priority: 2, targets: OTHER})],
    policy: BacklogAdmissionPolicy,
  },
  {
    name: 'a setting beside ranked routes',
    setting: AdmissionPolicyName.Open,
    routes: RANKED,
    policy: OpenAdmissionPolicy,
  },
  {
    name: 'a setting beside equal priorities',
    setting: AdmissionPolicyName.LeastCost,
    routes: [createRoute({})],
    policy: LeastCostAdmissionPolicy,
  },
];

const URGENCIES = [
  {
    name: 'the most urgent route',
    priority: 1,
    routePriority: 0,
    urgency: {levelsBelow: 3, levelsAbove: 0, urgentGoalMs: undefined},
  },
  {
    name: 'a route within an urgent workspace',
    priority: 1,
    routePriority: 2,
    urgency: {levelsBelow: 2, levelsAbove: 1, urgentGoalMs: 250},
  },
  {
    name: 'an urgent route of another workspace',
    priority: 4,
    routePriority: 0,
    urgency: {levelsBelow: 1, levelsAbove: 2, urgentGoalMs: 250},
  },
  {
    name: 'a priority that the configuration does not name',
    priority: 7,
    routePriority: 7,
    urgency: {levelsBelow: 0, levelsAbove: 0},
  },
];

describe('AdmissionPolicies', () => {
  for (const {name, setting, routes, policy} of CASES)
    it(`selects the policy of a service by ${name}`, () => {
      const selected = new AdmissionPolicies(setting).for(
        'notes',
        createConfig({routes}),
      );
      assert.ok(selected instanceof policy, selected.constructor.name);
    });

  it('follows a change of the configuration', () => {
    const policies = new AdmissionPolicies();
    const [ranked, equal] = [RANKED, [createRoute({})]].map(routes =>
      policies.for('notes', createConfig({routes})),
    );
    assert.ok(ranked instanceof LeastCostAdmissionPolicy);
    assert.ok(equal instanceof BacklogAdmissionPolicy);
  });

  for (const {name, priority, routePriority, urgency} of URGENCIES)
    it(`ranks ${name}`, () => {
      const config = createConfig({
        routes: [
          createRoute({priority: 0, latencyGoalMs: 250}),
          createRoute({priority: 2, latencyGoalMs: 8_000}),
        ],
        workspaces: [1, 4].map(priority => ({
          name: `w${priority}`,
          keys: [],
          priority,
        })),
      });
      assert.deepEqual(
        new AdmissionPolicies()
          .urgencies(config)
          .of('notes', priority, routePriority),
        urgency,
      );
    });

  it('ranks no request if the list of workspaces is empty', () => {
    const config = createConfig({routes: RANKED, workspaces: []});
    assert.deepEqual(
      new AdmissionPolicies().urgencies(config).of('notes', 0, 0),
      {levelsBelow: 0, levelsAbove: 0},
    );
  });
});
