import type {BackendInFlight} from './backend_in_flight.js';
import type {Delta} from './delta.js';

const PRIORITY_LEVELS = 10;

/** What the other entry hosts have in flight, as they said last. */
export class PeerLoads {
  private readonly peers = new Map<string, Map<string, BackendInFlight>>();
  private totals = new Map<string, BackendInFlight>();

  /** Takes what a peer says in a batch. */
  apply(delta: Delta): void {
    let loads = this.peers.get(delta.from);
    if (!loads || delta.isWhole) {
      loads = new Map();
      this.peers.set(delta.from, loads);
    }
    for (const tuple of delta.inFlight) {
      const item = decode(tuple);
      if (item.requests > 0) loads.set(item.backendId, item);
      else loads.delete(item.backendId);
    }
    this.sum();
  }

  /** Forgets a peer that left or whose lease ended. */
  forget(peer: string): void {
    if (this.peers.delete(peer)) this.sum();
  }

  /** What all peers together have in flight on a backend server. */
  on(backendId: string): BackendInFlight | undefined {
    return this.totals.get(backendId);
  }

  private sum(): void {
    const totals = new Map<string, BackendInFlight>();
    for (const loads of this.peers.values()) {
      for (const item of loads.values()) {
        const before = totals.get(item.backendId);
        totals.set(item.backendId, before ? add(before, item) : item);
      }
    }
    this.totals = totals;
  }
}

function decode(tuple: Delta['inFlight'][number]): BackendInFlight {
  const [backendId, requests, heldTokens, ...pairs] = tuple;
  const prefillByPriority = new Array<number>(PRIORITY_LEVELS).fill(0);
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    const priority = pairs[at]!;
    if (priority < PRIORITY_LEVELS)
      prefillByPriority[priority] = pairs[at + 1]!;
  }
  return {backendId, requests, heldTokens, prefillByPriority};
}

function add(a: BackendInFlight, b: BackendInFlight): BackendInFlight {
  return {
    backendId: a.backendId,
    requests: a.requests + b.requests,
    heldTokens: a.heldTokens + b.heldTokens,
    prefillByPriority: a.prefillByPriority.map(
      (tokens, priority) => tokens + b.prefillByPriority[priority]!,
    ),
  };
}
