import type {Member} from './member.js';

/** A member list and the log index at which it was set. */
export interface Membership {
  readonly members: readonly Member[];
  readonly index: number;
}
