import type {Backend} from '../fleet/backend.js';

/** Memory that an engine keeps for one request. */
export interface HeldMemory {
  readonly backend: Backend;
  readonly ticket: string;
  readonly tokens: number;
}
