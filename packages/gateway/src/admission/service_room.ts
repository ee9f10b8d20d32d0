import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';

/**
 * Room on the engines of a service, as the ledgers of this host have it. Notices
 * of all placements make the ledgers nearly the same on all hosts.
 */
export interface ServiceRoom {
  /** Sequences on all engines as a share of their batches; 1 if they are full. */
  readonly occupancy: number;
  /**
   * Mean share of the given time that the prefill queue of an engine takes, at
   * most 1 for each engine.
   */
  readonly queueShare: number;
  /** Credit at stake for each millisecond of engine time that is taken. */
  readonly density: number;
  /** Time until a sequence that waits for the emptiest engine gets a slot. */
  readonly slotWaitMs: number;
}

/** Sums up the ledgers of the engines; `queueMs` is a queue that is too long. */
export function serviceRoom(
  spec: EngineSpec,
  backends: readonly Backend[],
  queueMs: number,
  nowMs: number,
): ServiceRoom {
  let streams = 0;
  let fewestStreams = Infinity;
  let decodeMs = 0;
  let prefillMs = 0;
  let loss = 0;
  let queueShares = 0;
  for (const {work} of backends) {
    const {totals} = work;
    streams += totals.streams;
    fewestStreams = Math.min(fewestStreams, totals.streams);
    decodeMs += totals.decodeMs;
    prefillMs += totals.prefillMs;
    loss += totals.lossIfLate;
    queueShares += Math.min(1, work.backlogMs(nowMs) / queueMs);
  }
  const {batchSize} = spec;
  const waiting = Math.max(0, fewestStreams + 1 - batchSize);
  const engineMs = prefillMs + decodeMs / batchSize;
  return {
    occupancy: streams / (backends.length * batchSize),
    queueShare: queueShares / backends.length,
    density: engineMs > 0 ? loss / engineMs : 0,
    slotWaitMs: waiting > 0 ? (waiting * decodeMs) / streams / batchSize : 0,
  };
}
