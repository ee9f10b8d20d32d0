import type {WalStats} from '@vanillamux/storage';
import type {Member} from './member.js';
import type {RaftRole} from './raft_role.js';

/** A member as the group sees it. */
export interface MemberStatus extends Member {
  /** Last index known to match; only the leader knows it. */
  readonly matchIndex?: number;
  /** Milliseconds since the last answer; only the leader knows it. */
  readonly silentMs?: number;
}

/** State of the group as one member sees it. */
export interface GroupStatus {
  readonly selfId: string;
  readonly role: RaftRole;
  readonly term: number;
  readonly leaderId?: string;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly baseIndex: number;
  /** Milliseconds since a leader with a quorum was known. */
  readonly leaderSilentMs: number;
  /** Records, syncs and bytes written to the log since the start. */
  readonly log: Readonly<WalStats>;
  readonly members: readonly MemberStatus[];
}
