const PRIORITY_LEVELS = 10;

/** Load of this host's requests on one backend server. */
interface BackendLoad {
  readonly prefillByPriority: number[];
  requests: number;
  heldTokens: number;
  /** Whether the entry is deleted when its last request ends. */
  deleteWhenIdle: boolean;
}

/** Load of this host's requests on one backend server, as sent to peers. */
export interface InFlightReport {
  readonly backendId: string;
  readonly requests: number;
  readonly heldTokens: number;
  /** Outstanding prefill tokens by engine priority. */
  readonly prefillByPriority: readonly number[];
}

/** A request in flight on a backend server. */
export interface InFlightRequest {
  readonly backendId: string;
  readonly priority: number;
  readonly prefillTokens: number;
  /** KV memory that the request occupies, in tokens. */
  readonly heldTokens: number;
}

/**
 * Tracks the load of this host's requests on each backend server. Its figures
 * are exact, unlike the load that backend servers report.
 */
export class InFlightTracker {
  private readonly loads = new Map<string, BackendLoad>();

  /** Adds a request. Returns a handle to end its prefill and the request. */
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

  /** Lists the backend servers that this host has used, idle ones included. */
  list(): InFlightReport[] {
    return [...this.loads].map(([backendId, load]) => ({
      backendId,
      requests: load.requests,
      heldTokens: load.heldTokens,
      prefillByPriority: load.prefillByPriority,
    }));
  }

  requestCountOn(backendId: string): number {
    return this.loads.get(backendId)?.requests ?? 0;
  }

  /** Returns the KV memory that this host's requests occupy, in tokens. */
  heldTokensOn(backendId: string): number {
    return this.loads.get(backendId)?.heldTokens ?? 0;
  }

  /** Returns this host's outstanding prefill tokens by engine priority. */
  prefillByPriorityOn(backendId: string): readonly number[] {
    return this.loads.get(backendId)?.prefillByPriority ?? [];
  }

  /** Removes a backend server once its last request has ended. */
  removeBackend(backendId: string): void {
    const load = this.loads.get(backendId);
    if (!load) return;
    if (load.requests === 0) this.loads.delete(backendId);
    else load.deleteWhenIdle = true;
  }
}

/** Ends the prefill of a request in flight and the request, each once. */
class InFlightHandle {
  private isPrefilling = true;
  private hasEnded = false;

  constructor(
    private readonly request: InFlightRequest,
    private readonly load: BackendLoad,
    private readonly onEnd: () => void,
  ) {}

  /** Subtracts the prefill tokens, for when the first token has arrived. */
  endPrefill(): void {
    if (!this.isPrefilling) return;
    this.isPrefilling = false;
    const {priority, prefillTokens} = this.request;
    this.load.prefillByPriority[priority]! -= prefillTokens;
  }

  /** Subtracts the request, with its prefill if that has not ended. */
  end(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.endPrefill();
    this.load.requests--;
    this.load.heldTokens -= this.request.heldTokens;
    this.onEnd();
  }
}
