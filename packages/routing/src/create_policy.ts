import {EstimatedFirstTokenPolicy} from './estimated_first_token_policy.js';
import {LeastOutstandingPolicy} from './least_outstanding_policy.js';
import {PolicyName} from './policy_name.js';
import {RoundRobinPolicy} from './round_robin_policy.js';
import type {RoutingPolicy} from './routing_policy.js';

export function createPolicy(name: PolicyName): RoutingPolicy {
  switch (name) {
    case PolicyName.RoundRobin:
      return new RoundRobinPolicy();
    case PolicyName.LeastOutstanding:
      return new LeastOutstandingPolicy();
    case PolicyName.EstimatedFirstToken:
      return new EstimatedFirstTokenPolicy();
  }
}
