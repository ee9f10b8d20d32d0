import type {BackendInFlight} from './backend_in_flight.js';
import type {Delta} from './delta.js';

const PRIORITY_LEVELS = 10;

/** What the other entry hosts have in flight, as they said last. */
export class PeerInFlightTracker {
  private readonly inFlightByPeer = new Map<
    string,
    Map<string, BackendInFlight>
  >();
  private totalsByBackend = new Map<string, BackendInFlight>();

  /** Takes what a peer says in a batch. */
  apply(delta: Delta): void {
    let inFlightByBackend = this.inFlightByPeer.get(delta.from);
    if (!inFlightByBackend || delta.isWhole) {
      inFlightByBackend = new Map();
      this.inFlightByPeer.set(delta.from, inFlightByBackend);
    }
    for (const tuple of delta.inFlight) {
      const item = decodeInFlight(tuple);
      if (item.requests > 0) inFlightByBackend.set(item.backendId, item);
      else inFlightByBackend.delete(item.backendId);
    }
    this.updateTotals();
  }

  /** Forgets a peer that left or whose lease ended. */
  removePeer(peerId: string): void {
    if (this.inFlightByPeer.delete(peerId)) this.updateTotals();
  }

  /** What all peers together have in flight on a backend server. */
  totalOn(backendId: string): BackendInFlight | undefined {
    return this.totalsByBackend.get(backendId);
  }

  private updateTotals(): void {
    const totals = new Map<string, BackendInFlight>();
    for (const inFlightByBackend of this.inFlightByPeer.values()) {
      for (const item of inFlightByBackend.values()) {
        const total = totals.get(item.backendId);
        totals.set(item.backendId, total ? sumInFlight(total, item) : item);
      }
    }
    this.totalsByBackend = totals;
  }
}

function decodeInFlight(tuple: Delta['inFlight'][number]): BackendInFlight {
  const [backendId, requests, heldTokens, ...pairs] = tuple;
  const prefillByPriority = new Array<number>(PRIORITY_LEVELS).fill(0);
  for (let index = 0; index + 1 < pairs.length; index += 2) {
    const priority = pairs[index]!;
    if (priority < PRIORITY_LEVELS)
      prefillByPriority[priority] = pairs[index + 1]!;
  }
  return {backendId, requests, heldTokens, prefillByPriority};
}

function sumInFlight(a: BackendInFlight, b: BackendInFlight): BackendInFlight {
  return {
    backendId: a.backendId,
    requests: a.requests + b.requests,
    heldTokens: a.heldTokens + b.heldTokens,
    prefillByPriority: a.prefillByPriority.map(
      (tokens, priority) => tokens + b.prefillByPriority[priority]!,
    ),
  };
}
