import type {WorkItem} from './work_item.js';

/** Work on an engine together with where it stands. */
export interface TrackedWork extends WorkItem {
  readonly placedMs: number;
  /** When the prompt is expected to be processed. */
  prefillEndMs: number;
  prefillDone: boolean;
  /** When it is forgotten, for work of which no end will be heard. */
  readonly expiresMs: number;
}
