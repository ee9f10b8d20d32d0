import type {GroupStatus} from '@vanillamux/consensus';

/** Time without a leader after which a control host is no longer current. */
const MAX_LEADER_SILENCE_MS = 1_000;

/** Whether a control host follows a leader with a quorum, or is that leader. */
export function followsLeader({
  isCurrent,
  leaderSilentMs,
}: Pick<GroupStatus, 'isCurrent' | 'leaderSilentMs'>): boolean {
  return isCurrent && leaderSilentMs < MAX_LEADER_SILENCE_MS;
}
