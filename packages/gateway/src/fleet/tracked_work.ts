import type {WorkItem} from './work_item.js';

/** Work on an engine together with its progress. */
export interface TrackedWork extends WorkItem {
  readonly placedMs: number;
  /** Time at which the prefill is expected to end. */
  prefillEndMs: number;
  prefillDone: boolean;
  /** Time at which peer work expires; infinite for work of this host. */
  readonly expiresMs: number;
}
