import type {Address} from '@vanillamux/shared';

/** A control host as entry hosts know it. */
export interface ControlEndpoint {
  readonly address: Address;
  readonly failureDomain: string;
}
