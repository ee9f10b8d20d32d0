import {Deferred, monotonicMs, sleep} from '@vanillamux/shared';
import {AbortReason} from './abort_reason.js';
import type {AttemptResult} from './attempt_result.js';
import type {RunningAttempt} from './running_attempt.js';

/** An attempt that has ended, and its result. */
export interface EndedAttempt {
  readonly attempt: RunningAttempt;
  readonly result: AttemptResult;
}

/**
 * Attempts of one request that run at the same time. While a backend server is
 * silent, another one may try; whichever makes progress first continues alone.
 */
export class RunningAttempts {
  private readonly running = new Set<RunningAttempt>();
  private readonly ended: EndedAttempt[] = [];
  private changed = new Deferred<void>();
  private failure?: {readonly error: unknown};

  /** Number of attempts that have not ended. */
  get size(): number {
    return this.running.size;
  }

  /** Attempts that may have reached a backend server. */
  get sentCount(): number {
    return [...this.running].filter(({wasSent}) => wasSent).length;
  }

  /** Whether there is no attempt, or all of them are silent. */
  get areAllSilent(): boolean {
    return [...this.running].every(({isSilent}) => isSilent);
  }

  /** Adds an attempt until `run` has ended. */
  add(
    attempt: RunningAttempt,
    run: (attempt: RunningAttempt) => Promise<AttemptResult>,
  ): void {
    this.running.add(attempt);
    run(attempt)
      .then(result => this.ended.push({attempt, result}))
      .catch((error: unknown) => (this.failure = {error}))
      .finally(() => {
        this.running.delete(attempt);
        this.changed.resolve();
      });
  }

  /** Marks an attempt as silent. */
  recordSilence(attempt: RunningAttempt): void {
    attempt.isSilent = true;
    this.changed.resolve();
  }

  /** Records progress of an attempt, which ends all others. */
  recordProgress(attempt: RunningAttempt): void {
    attempt.isSilent = false;
    attempt.firstProgressMs ??= monotonicMs();
    for (const other of this.running) {
      if (other !== attempt) other.controller.abort(AbortReason.Superseded);
    }
  }

  /** Ends all attempts. */
  abort(reason: unknown): void {
    for (const {controller} of this.running) controller.abort(reason);
    this.changed.resolve();
  }

  /** Removes and returns the attempt that ended first, if one has ended. */
  takeEnded(): EndedAttempt | undefined {
    return this.ended.shift();
  }

  /**
   * Resolves when an attempt has ended or fallen silent, at the latest after
   * `timeoutMs`. Rejects with what an attempt has thrown.
   */
  async waitForChange(timeoutMs = Infinity): Promise<void> {
    const timer = new AbortController();
    const waits = [this.changed.promise];
    if (timeoutMs < Infinity) waits.push(sleep(timeoutMs, timer.signal));
    await Promise.race(waits);
    timer.abort();
    this.changed = new Deferred<void>();
    if (this.failure) throw this.failure.error;
  }
}
