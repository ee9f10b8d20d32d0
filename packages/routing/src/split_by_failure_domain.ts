import type {BackendView} from './backend_view.js';

/** Candidates in the failure domain of the deciding host, and the others. */
export interface SplitCandidates {
  readonly local: readonly BackendView[];
  readonly remote: readonly BackendView[];
}

/** Splits candidates by whether they are in the same failure domain. */
export function splitByFailureDomain(
  candidates: readonly BackendView[],
): SplitCandidates {
  const local: BackendView[] = [];
  const remote: BackendView[] = [];
  for (const view of candidates) (view.isLocal ? local : remote).push(view);
  return {local, remote};
}

/** The local candidates, or all when there is no local one. */
export function preferLocal(
  candidates: readonly BackendView[],
): readonly BackendView[] {
  const {local} = splitByFailureDomain(candidates);
  return local.length > 0 ? local : candidates;
}
