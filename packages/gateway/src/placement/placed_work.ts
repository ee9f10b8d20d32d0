import type {Backend} from '../fleet/backend.js';
import type {WorkItem} from '../fleet/work_item.js';

/** Work that a placement decision assigns to one engine. */
export interface PlacedWork {
  readonly backend: Backend;
  readonly item: WorkItem;
}
