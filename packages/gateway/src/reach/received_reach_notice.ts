import type {ReachNotice} from './reach_notice.js';

/** Notice about lost services, and the id of the host that sent it. */
export interface ReceivedReachNotice {
  readonly from: string;
  readonly notice: ReachNotice;
}
