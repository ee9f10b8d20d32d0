const PRIORITY_LEVELS = 10;

/** This host's work on one backend server. */
interface BackendLoad {
  readonly prefillByPriority: number[];
  requests: number;
  heldTokens: number;
  /** Whether the account ends with its last request. */
  isGone: boolean;
}

/** This host's requests on one backend server, for its peers. */
export interface BackendWork {
  readonly backendId: string;
  readonly requests: number;
  readonly heldTokens: number;
  /** Outstanding prefill tokens by engine priority. */
  readonly prefillByPriority: readonly number[];
}

/** One request in flight on a backend server. */
export interface InFlight {
  readonly backendId: string;
  readonly priority: number;
  readonly prefillTokens: number;
  readonly heldTokens: number;
}

/** Exact account of this host's requests on each backend server. */
export class InFlightLedger {
  private readonly loads = new Map<string, BackendLoad>();

  /** Adds a request. Returns the handle that ends its parts. */
  add(flight: InFlight): FlightHandle {
    const load = this.loads.get(flight.backendId) ?? {
      prefillByPriority: new Array<number>(PRIORITY_LEVELS).fill(0),
      requests: 0,
      heldTokens: 0,
      isGone: false,
    };
    this.loads.set(flight.backendId, load);
    load.requests++;
    load.heldTokens += flight.heldTokens;
    load.prefillByPriority[flight.priority]! += flight.prefillTokens;
    load.isGone = false;
    return new FlightHandle(flight, load, () => {
      if (load.isGone && load.requests === 0) {
        this.loads.delete(flight.backendId);
      }
    });
  }

  /** This host's requests on every backend server that it has used. */
  list(): BackendWork[] {
    return [...this.loads].map(([backendId, load]) => ({
      backendId,
      requests: load.requests,
      heldTokens: load.heldTokens,
      prefillByPriority: load.prefillByPriority,
    }));
  }

  /** This host's requests on a backend server. */
  requestsOn(backendId: string): number {
    return this.loads.get(backendId)?.requests ?? 0;
  }

  /** This host's memory on a backend server, in tokens. */
  heldOn(backendId: string): number {
    return this.loads.get(backendId)?.heldTokens ?? 0;
  }

  /** This host's outstanding prefill tokens by priority. */
  prefillOn(backendId: string): readonly number[] {
    return this.loads.get(backendId)?.prefillByPriority ?? [];
  }

  /** Forgets a backend server that is gone, once its last request has ended. */
  forget(backendId: string): void {
    const load = this.loads.get(backendId);
    if (!load) return;
    if (load.requests === 0) this.loads.delete(backendId);
    else load.isGone = true;
  }
}

/** Ends the parts of a request in flight, each once. */
class FlightHandle {
  private prefilling = true;
  private ended = false;

  constructor(
    private readonly flight: InFlight,
    private readonly load: BackendLoad,
    private readonly onEnd: () => void,
  ) {}

  /** The prompt is processed: the first token has come. */
  endPrefill(): void {
    if (!this.prefilling) return;
    this.prefilling = false;
    const {priority, prefillTokens} = this.flight;
    this.load.prefillByPriority[priority]! -= prefillTokens;
  }

  /** The request is over on this backend server. */
  end(): void {
    if (this.ended) return;
    this.ended = true;
    this.endPrefill();
    this.load.requests--;
    this.load.heldTokens -= this.flight.heldTokens;
    this.onEnd();
  }
}
