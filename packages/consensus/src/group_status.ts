import type {WalStats} from '@vanillamux/storage';
import type {Member} from './member.js';
import type {RaftRole} from './raft_role.js';

/** A member with the state of its replication. */
export interface MemberStatus extends Member {
  /** Last log index known to match the leader; set only by the leader. */
  readonly matchIndex?: number;
  /**
   * Milliseconds since the last call that the member replied to was sent, at
   * most since the leader knows the member; set only by the leader.
   */
  readonly silentMs?: number;
  /** Whether another member answers at its address; set only by the leader. */
  readonly isReplaced?: boolean;
}

/** State of the group as known to one member. */
export interface GroupStatus {
  readonly selfId: string;
  readonly role: RaftRole;
  readonly term: number;
  readonly leaderId?: string;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly baseIndex: number;
  /** Milliseconds since the last contact with a leader; 0 with a lease. */
  readonly leaderSilentMs: number;
  /**
   * Whether the member knows a leader and has applied an entry of its term, and
   * so everything that was committed before.
   */
  readonly isCurrent: boolean;
  /** Records, syncs and bytes written to the log since it was opened. */
  readonly log: Readonly<WalStats>;
  readonly members: readonly MemberStatus[];
  /**
   * Log index at which `members` were set. The change is certain once
   * `commitIndex` has reached it.
   */
  readonly membersIndex: number;
}
