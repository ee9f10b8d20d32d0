import type {BackendView} from './backend_view.js';

/** Share of the free memory that a gang may take, to leave room for others. */
const USABLE_SHARE = 0.95;

/** The part of a prompt that one engine of a gang holds. */
export interface GangPart {
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
): GangPart[] | undefined {
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
): GangPart[] | undefined {
  const ordered = candidates
    .slice()
    .sort((a, b) => b.freeTokens - a.freeTokens || (a.id < b.id ? -1 : 1));
  const chosen: BackendView[] = [];
  let room = -maxTokens;
  for (const backend of ordered) {
    chosen.push(backend);
    room += usableTokens(backend);
    if (room >= promptTokens) return split(promptTokens, chosen, room);
  }
  return undefined;
}

/** Parts in proportion to the room, in the order of the ids. */
function split(
  promptTokens: number,
  chosen: readonly BackendView[],
  room: number,
): GangPart[] {
  const ordered = chosen.slice().sort((a, b) => (a.id < b.id ? -1 : 1));
  const total = ordered.reduce((sum, view) => sum + usableTokens(view), 0);
  const answerRoom = total - room;
  let importTokens = 0;
  return ordered.map((backend, index) => {
    const isLast = index === ordered.length - 1;
    const usable = usableTokens(backend) - (isLast ? answerRoom : 0);
    const share = Math.floor((promptTokens * usable) / room);
    const part = isLast ? promptTokens - importTokens : share;
    const result = {backend, promptTokens: part, importTokens};
    importTokens += part;
    return result;
  });
}

function usableTokens({freeTokens}: BackendView): number {
  return Math.max(0, Math.floor(freeTokens * USABLE_SHARE));
}
