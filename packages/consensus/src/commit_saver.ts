import {getLogger, sleep} from '@vanillamux/shared';
import type {RaftState} from './raft_state.js';

/** Time between two writes, which bounds what a restart does not know. */
const SAVE_INTERVAL_MS = 500;

const log = getLogger('consensus');

/**
 * Stores how far the log is committed, so that a member that restarts knows it
 * without a leader. The stored position lags behind, which is safe: what has
 * been committed stays committed.
 */
export class CommitSaver {
  private savedIndex: number;
  private isSaving = false;

  constructor(
    private readonly state: RaftState,
    private readonly signal: AbortSignal,
  ) {
    this.savedIndex = state.commitIndex;
  }

  /** Stores the commit index soon, unless that is under way. */
  notify(): void {
    if (this.isSaving || this.signal.aborted) return;
    this.isSaving = true;
    void this.saveUntilCurrent().finally(() => {
      this.isSaving = false;
    });
  }

  private async saveUntilCurrent(): Promise<void> {
    const {state, signal} = this;
    while (state.commitIndex > this.savedIndex) {
      await sleep(SAVE_INTERVAL_MS, signal);
      if (signal.aborted) return;
      await this.save();
    }
  }

  private async save(): Promise<void> {
    const {log: raftLog, storage, commitIndex: index} = this.state;
    const term = raftLog.termAt(index);
    if (term === undefined) return;
    try {
      // The position must not be ahead of the entries on this disk.
      await storage.sync();
      await storage.saveCommitted({index, term});
      this.savedIndex = index;
    } catch (error) {
      const reason = (error as Error).message;
      log.warn('Could not store the commit index; retrying.', {index, reason});
    }
  }
}
