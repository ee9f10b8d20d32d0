import type {Address} from '@vanillamux/shared';

/** Location of a control host, as sent to entry hosts. */
export interface ControlEndpoint {
  readonly address: Address;
  readonly failureDomain: string;
}
