import {
  Deferred,
  ErrorCodes,
  fail,
  monotonicMs,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {AdmissionRequest} from './admission_request.js';
import {FairQueue} from './fair_queue.js';

const RETRY_AFTER_MS = 1_000;
/** Without a reason, each abort would make an exception. */
const DECIDED = 'decided';

interface Waiter {
  readonly request: AdmissionRequest;
  readonly outcome: Deferred<Result<void>>;
}

/** Bounds the requests of one class that run at once; others wait fairly. */
export class ClassGate {
  private running = 0;
  private readonly queue = new FairQueue<Waiter>();

  get waiting(): number {
    return this.queue.size;
  }

  /** Waits for a place. Refuses at once when the queue is full. */
  async enter(request: AdmissionRequest): Promise<Result<void>> {
    const {concurrency, queue: limit} = request.workClass;
    if (this.running < (concurrency ?? Infinity)) {
      this.running++;
      return succeed(undefined);
    }
    if (this.queue.size >= limit) {
      return fail(
        new VmuxError(ErrorCodes.QueueFull, {retryAfterMs: RETRY_AFTER_MS}),
      );
    }
    return this.wait(request);
  }

  /** Frees a place and hands it to the next that waits. */
  leave(): void {
    this.running--;
    const next = this.queue.pop();
    if (!next) return;
    this.running++;
    next.outcome.resolve(succeed(undefined));
  }

  private async wait(request: AdmissionRequest): Promise<Result<void>> {
    const {workspace, costTokens, deadlineMs} = request;
    const waiter: Waiter = {request, outcome: new Deferred<Result<void>>()};
    this.queue.push(waiter, workspace.name, costTokens, workspace.weight);
    const timer = new AbortController();
    const stop = () => timer.abort(DECIDED);
    request.signal.addEventListener('abort', stop, {once: true});
    void sleep(deadlineMs - monotonicMs(), timer.signal).then(() => {
      if (this.queue.remove(waiter)) {
        const code = request.signal.aborted
          ? ErrorCodes.Cancelled
          : ErrorCodes.DeadlineUnreachable;
        waiter.outcome.resolve(fail(new VmuxError(code)));
      }
    });
    const outcome = await waiter.outcome.promise;
    request.signal.removeEventListener('abort', stop);
    timer.abort(DECIDED);
    return outcome;
  }
}
