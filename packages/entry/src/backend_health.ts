import {monotonicMs} from '@vanillamux/shared';

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

interface Health {
  failuresInRow: number;
  ejections: number;
  ejectedUntilMs: number;
}

/**
 * Takes backend servers out of routing after consecutive failures of this
 * host's own calls, for a time that doubles with each ejection.
 */
export class BackendHealth {
  private readonly states = new Map<string, Health>();

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Whether the backend server may get requests. */
  isUsable(id: string): boolean {
    const state = this.states.get(id);
    return !state || state.ejectedUntilMs <= this.now();
  }

  succeeded(id: string): void {
    this.states.delete(id);
  }

  failed(id: string): void {
    const state = this.states.get(id) ?? {
      failuresInRow: 0,
      ejections: 0,
      ejectedUntilMs: 0,
    };
    this.states.set(id, state);
    state.failuresInRow++;
    if (state.failuresInRow < FAILURES_TO_EJECT) return;
    const durationMs = FIRST_EJECTION_MS * 2 ** state.ejections;
    state.ejectedUntilMs = this.now() + Math.min(durationMs, MAX_EJECTION_MS);
    state.ejections++;
  }

  /** Forgets a backend server that is gone. */
  forget(id: string): void {
    this.states.delete(id);
  }
}
