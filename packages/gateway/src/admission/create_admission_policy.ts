import type {AdmissionPolicy} from './admission_policy.js';
import {AdmissionPolicyName} from './admission_policy_name.js';
import {BacklogAdmissionPolicy} from './backlog_admission_policy.js';
import {LeastCostAdmissionPolicy} from './least_cost_admission_policy.js';
import {OpenAdmissionPolicy} from './open_admission_policy.js';

/** Creates the admission policy with a name. */
export function createAdmissionPolicy(
  name: AdmissionPolicyName,
  random: () => number = Math.random,
): AdmissionPolicy {
  switch (name) {
    case AdmissionPolicyName.Open:
      return new OpenAdmissionPolicy();
    case AdmissionPolicyName.Backlog:
      return new BacklogAdmissionPolicy(random);
    case AdmissionPolicyName.LeastCost:
      return new LeastCostAdmissionPolicy(random);
  }
}
