import type {RegistryUpdate} from './backend_registry.js';
import type {FeedContent} from './feed_content.js';

/** Changes since one state of an entry host, for all that have this state. */
export interface FeedBatch {
  readonly update: RegistryUpdate;
  readonly content: FeedContent;
  readonly peersVersion: number;
  /** The content for entry hosts that read it packed, if it is long. */
  readonly packed?: string;
  readonly createdMs: number;
}
