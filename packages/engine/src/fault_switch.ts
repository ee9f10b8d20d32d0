import {monotonicMs, sleep} from '@vanillamux/shared';
import {FaultKind} from './fault_kind.js';

/** The faults that are active in a stand-in backend server. */
export class FaultSwitch {
  private readonly endsMs = new Map<FaultKind, number>();

  /** Activates a fault for a time. */
  inject(kind: FaultKind, durationMs: number): void {
    if (kind === FaultKind.Die) process.kill(process.pid, 'SIGKILL');
    this.endsMs.set(kind, monotonicMs() + durationMs);
  }

  isActive(kind: FaultKind): boolean {
    return this.remainingMs(kind) > 0;
  }

  /** Waits until a fault has ended. */
  async waitOut(kind: FaultKind, signal?: AbortSignal): Promise<void> {
    const remainingMs = this.remainingMs(kind);
    if (remainingMs > 0) await sleep(remainingMs, signal);
  }

  private remainingMs(kind: FaultKind): number {
    return (this.endsMs.get(kind) ?? 0) - monotonicMs();
  }
}
