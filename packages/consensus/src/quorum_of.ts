import type {Member} from './member.js';
import {MemberRole} from './member_role.js';

/** Returns the number of voters that form a quorum of `members`. */
export function quorumOf(members: readonly Member[]): number {
  const voters = members.filter(({role}) => role === MemberRole.Voter).length;
  return Math.floor(voters / 2) + 1;
}
