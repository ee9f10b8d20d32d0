import type {Address} from '@vanillamux/shared';
import type {RequestLimitNotice} from '../request_limits/request_limit_notice.js';

/** Notice about request limits, and the address of the host that sent it. */
export interface ReceivedLimitNotice {
  readonly replyTo: Address;
  readonly notice: RequestLimitNotice;
}
