import type {Member} from '@vanillamux/consensus';

/** A change of the member list, and why it is made. */
export interface MemberChange {
  readonly members: readonly Member[];
  readonly reason: string;
}
