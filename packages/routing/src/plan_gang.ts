import type {BackendView} from './backend_view.js';

/** Share of the free memory that a gang may take, to leave room for others. */
const USABLE_FRACTION = 0.95;

/** The part of a prompt that one engine of a gang holds. */
export interface PrefillShare {
  readonly backend: BackendView;
  /** Prompt tokens of this part. */
  readonly promptTokens: number;
  /** Prompt tokens before this part. */
  readonly importTokens: number;
}

/**
 * Splits a prompt over as few engines as can hold it with its answer, those
 * with the most free memory first, within one failure domain where possible.
 * The last part leaves room for the answer. Returns `undefined` when all
 * engines together are too small.
 */
export function planGang(
  promptTokens: number,
  maxTokens: number,
  candidates: readonly BackendView[],
): PrefillShare[] | undefined {
  const local = candidates.filter(({isLocal}) => isLocal);
  return (
    planWithin(promptTokens, maxTokens, local) ??
    planWithin(promptTokens, maxTokens, candidates)
  );
}

function planWithin(
  promptTokens: number,
  maxTokens: number,
  candidates: readonly BackendView[],
): PrefillShare[] | undefined {
  const ordered = candidates
    .slice()
    .sort((a, b) => b.freeTokens - a.freeTokens || (a.id < b.id ? -1 : 1));
  const chosen: BackendView[] = [];
  let capacityTokens = -maxTokens;
  for (const backend of ordered) {
    chosen.push(backend);
    capacityTokens += usableTokens(backend);
    if (capacityTokens >= promptTokens)
      return splitPrompt(promptTokens, chosen, capacityTokens);
  }
  return undefined;
}

/** Parts in proportion to the room, in the order of the ids. */
function splitPrompt(
  promptTokens: number,
  chosen: readonly BackendView[],
  capacityTokens: number,
): PrefillShare[] {
  const ordered = chosen.slice().sort((a, b) => (a.id < b.id ? -1 : 1));
  const totalTokens = ordered.reduce(
    (sum, view) => sum + usableTokens(view),
    0,
  );
  const outputTokens = totalTokens - capacityTokens;
  let importTokens = 0;
  return ordered.map((backend, index) => {
    const isLast = index === ordered.length - 1;
    const usable = usableTokens(backend) - (isLast ? outputTokens : 0);
    const proportionalTokens = Math.floor(
      (promptTokens * usable) / capacityTokens,
    );
    const shareTokens = isLast
      ? promptTokens - importTokens
      : proportionalTokens;
    const share = {backend, promptTokens: shareTokens, importTokens};
    importTokens += shareTokens;
    return share;
  });
}

function usableTokens({freeTokens}: BackendView): number {
  return Math.max(0, Math.floor(freeTokens * USABLE_FRACTION));
}
