import type {Backend} from '../fleet/backend.js';

/** KV memory that a request needs to reserve on one engine. */
export interface MemoryShare {
  readonly backend: Backend;
  readonly tokens: number;
}
