import type {Address} from '@vanillamux/shared';

/** An engine that processes a part of a prompt. */
export interface PrefillHelper {
  readonly address: Address;
  /** Memory that the engine keeps for the request. */
  readonly reservationId?: string;
}
