import type {PublishVerdict} from './publish_verdict.js';

/** Answer to a publish command. */
export interface PublishAnswer {
  readonly verdict: PublishVerdict;
  /** Version in force after the command. */
  readonly version: number;
}
