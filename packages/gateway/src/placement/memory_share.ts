import type {Backend} from '../fleet/backend.js';

/** Memory of one engine that a request needs to itself. */
export interface MemoryShare {
  readonly backend: Backend;
  readonly tokens: number;
}
