import type {BackendView} from './backend_view.js';

/** The backend servers that a decision may choose from. */
export interface CandidatePool {
  /** Those of this host's failure domain, or all when it has none. */
  readonly preferred: readonly BackendView[];
  /**
   * Samples backend servers of the other failure domains. A function, so that
   * the sample is drawn only when it is needed.
   */
  readonly sampleRemote: () => readonly BackendView[];
}
