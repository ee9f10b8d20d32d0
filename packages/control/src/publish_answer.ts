import type {PublishVerdict} from './publish_verdict.js';

/** Answer to a published document. */
export interface PublishAnswer {
  readonly verdict: PublishVerdict;
  /** Version in force. */
  readonly version: number;
}
