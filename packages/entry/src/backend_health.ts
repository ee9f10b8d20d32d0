import {monotonicMs} from '@vanillamux/shared';

const EJECTION_THRESHOLD = 3;
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

interface HealthState {
  consecutiveFailures: number;
  ejectionCount: number;
  ejectedUntilMs: number;
}

/**
 * Takes backend servers out of routing after consecutive failures of this
 * host's own calls, for a time that doubles with each ejection.
 */
export class BackendHealth {
  private readonly states = new Map<string, HealthState>();

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Whether the backend server may get requests. */
  isUsable(id: string): boolean {
    const state = this.states.get(id);
    return !state || state.ejectedUntilMs <= this.now();
  }

  recordSuccess(id: string): void {
    this.states.delete(id);
  }

  recordFailure(id: string): void {
    const state = this.states.get(id) ?? {
      consecutiveFailures: 0,
      ejectionCount: 0,
      ejectedUntilMs: 0,
    };
    this.states.set(id, state);
    state.consecutiveFailures++;
    if (state.consecutiveFailures < EJECTION_THRESHOLD) return;
    const durationMs = INITIAL_EJECTION_MS * 2 ** state.ejectionCount;
    state.ejectedUntilMs = this.now() + Math.min(durationMs, MAX_EJECTION_MS);
    state.ejectionCount++;
  }

  /** Forgets a backend server that is gone. */
  forget(id: string): void {
    this.states.delete(id);
  }
}
