import type {Member} from '@vanillamux/consensus';

/** Request to add a host to the group. */
export interface JoinRequest {
  readonly member: Member;
  readonly receivedMs: number;
  /** Whether an operator made the request, rather than the host itself. */
  readonly isFromOperator: boolean;
}
