const PRIORITY_LEVELS = 10;

/** This host's work on one backend server. */
interface BackendLoad {
  readonly prefillByPriority: number[];
  requests: number;
  heldTokens: number;
  /** Whether the account ends with its last request. */
  deleteWhenIdle: boolean;
}

/** This host's requests on one backend server, for its peers. */
export interface InFlightReport {
  readonly backendId: string;
  readonly requests: number;
  readonly heldTokens: number;
  /** Outstanding prefill tokens by engine priority. */
  readonly prefillByPriority: readonly number[];
}

/** One request in flight on a backend server. */
export interface InFlightRequest {
  readonly backendId: string;
  readonly priority: number;
  readonly prefillTokens: number;
  readonly heldTokens: number;
}

/** Exact account of this host's requests on each backend server. */
export class InFlightTracker {
  private readonly loads = new Map<string, BackendLoad>();

  /** Adds a request. Returns the handle that ends its parts. */
  add(request: InFlightRequest): InFlightHandle {
    const load = this.loads.get(request.backendId) ?? {
      prefillByPriority: new Array<number>(PRIORITY_LEVELS).fill(0),
      requests: 0,
      heldTokens: 0,
      deleteWhenIdle: false,
    };
    this.loads.set(request.backendId, load);
    load.requests++;
    load.heldTokens += request.heldTokens;
    load.prefillByPriority[request.priority]! += request.prefillTokens;
    load.deleteWhenIdle = false;
    return new InFlightHandle(request, load, () => {
      if (load.deleteWhenIdle && load.requests === 0) {
        this.loads.delete(request.backendId);
      }
    });
  }

  /** This host's requests on every backend server that it has used. */
  list(): InFlightReport[] {
    return [...this.loads].map(([backendId, load]) => ({
      backendId,
      requests: load.requests,
      heldTokens: load.heldTokens,
      prefillByPriority: load.prefillByPriority,
    }));
  }

  /** This host's requests on a backend server. */
  requestCountOn(backendId: string): number {
    return this.loads.get(backendId)?.requests ?? 0;
  }

  /** This host's memory on a backend server, in tokens. */
  heldTokensOn(backendId: string): number {
    return this.loads.get(backendId)?.heldTokens ?? 0;
  }

  /** This host's outstanding prefill tokens by priority. */
  prefillByPriorityOn(backendId: string): readonly number[] {
    return this.loads.get(backendId)?.prefillByPriority ?? [];
  }

  /** Forgets a backend server that is gone, once its last request has ended. */
  removeBackend(backendId: string): void {
    const load = this.loads.get(backendId);
    if (!load) return;
    if (load.requests === 0) this.loads.delete(backendId);
    else load.deleteWhenIdle = true;
  }
}

/** Ends the parts of a request in flight, each once. */
class InFlightHandle {
  private isPrefilling = true;
  private hasEnded = false;

  constructor(
    private readonly request: InFlightRequest,
    private readonly load: BackendLoad,
    private readonly onEnd: () => void,
  ) {}

  /** The prompt is processed: the first token has come. */
  endPrefill(): void {
    if (!this.isPrefilling) return;
    this.isPrefilling = false;
    const {priority, prefillTokens} = this.request;
    this.load.prefillByPriority[priority]! -= prefillTokens;
  }

  /** The request is over on this backend server. */
  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.endPrefill();
    this.load.requests--;
    this.load.heldTokens -= this.request.heldTokens;
    this.onEnd();
  }
}
