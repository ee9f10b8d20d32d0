import type {GatewayConfig} from '../config/gateway_config.js';
import type {AdmissionPolicy} from './admission_policy.js';
import {AdmissionPolicyName} from './admission_policy_name.js';
import {createAdmissionPolicy} from './create_admission_policy.js';
import {ServiceUrgencies} from './service_urgencies.js';

/** The admission policies of this host. */
export class AdmissionPolicies {
  private readonly policies = new Map<AdmissionPolicyName, AdmissionPolicy>();
  private config?: GatewayConfig;
  private latestUrgencies?: ServiceUrgencies;

  /** Without a name, the configuration decides for each service. */
  constructor(
    private readonly name?: AdmissionPolicyName,
    private readonly random: () => number = Math.random,
  ) {}

  /** Returns the policy for a service of a configuration. */
  for(service: string, config: GatewayConfig): AdmissionPolicy {
    if (this.name) return this.named(this.name);
    const isRanked = this.urgencies(config).areRoutesRanked(service);
    return this.named(
      isRanked ? AdmissionPolicyName.LeastCost : AdmissionPolicyName.Backlog,
    );
  }

  /** Returns the urgencies of a configuration. */
  urgencies(config: GatewayConfig): ServiceUrgencies {
    if (!this.latestUrgencies || config !== this.config) {
      this.config = config;
      this.latestUrgencies = new ServiceUrgencies(config);
    }
    return this.latestUrgencies;
  }

  private named(name: AdmissionPolicyName): AdmissionPolicy {
    let policy = this.policies.get(name);
    if (!policy) {
      policy = createAdmissionPolicy(name, this.random);
      this.policies.set(name, policy);
    }
    return policy;
  }
}
