import type {BackendView} from './backend_view.js';

/** The backend servers that a decision may choose from. */
export interface CandidatePool {
  /** Those of the own failure domain, or all when it has none. */
  readonly preferred: readonly BackendView[];
  /** A sample of the other failure domains; made only when it is needed. */
  readonly sampleRemote: () => readonly BackendView[];
}
