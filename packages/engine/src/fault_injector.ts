import {monotonicMs, sleep} from '@vanillamux/shared';
import {FaultKind} from './fault_kind.js';

/** Injects faults into a mock backend server and tracks the active ones. */
export class FaultInjector {
  private readonly endMsByKind = new Map<FaultKind, number>();

  /** Activates a fault for `durationMs`; `FaultKind.Crash` exits at once. */
  inject(kind: FaultKind, durationMs: number): void {
    if (kind === FaultKind.Crash) process.kill(process.pid, 'SIGKILL');
    this.endMsByKind.set(kind, monotonicMs() + durationMs);
  }

  isActive(kind: FaultKind): boolean {
    return this.remainingMs(kind) > 0;
  }

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
