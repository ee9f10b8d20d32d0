import type {Address} from '@vanillamux/shared';

/** An engine that processes a share of a prompt. */
export interface PrefillHelper {
  readonly address: Address;
  /** KV memory that is reserved on the engine for the request. */
  readonly reservationId?: string;
}
