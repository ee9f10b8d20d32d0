import {monotonicMs, sleep} from '@vanillamux/shared';
import {FaultKind} from './fault_kind.js';

/** The faults that are active in a stand-in backend server. */
export class FaultInjector {
  private readonly endMsByKind = new Map<FaultKind, number>();

  /** Activates a fault for a time. */
  inject(kind: FaultKind, durationMs: number): void {
    if (kind === FaultKind.Crash) process.kill(process.pid, 'SIGKILL');
    this.endMsByKind.set(kind, monotonicMs() + durationMs);
  }

  isActive(kind: FaultKind): boolean {
    return this.remainingMs(kind) > 0;
  }

  /** Waits until a fault has ended. */
  async waitUntilInactive(
    kind: FaultKind,
    signal?: AbortSignal,
  ): Promise<void> {
    const remainingMs = this.remainingMs(kind);
    if (remainingMs > 0) await sleep(remainingMs, signal);
  }

  private remainingMs(kind: FaultKind): number {
    return (this.endMsByKind.get(kind) ?? 0) - monotonicMs();
  }
}
