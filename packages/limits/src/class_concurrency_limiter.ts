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

const QUEUE_FULL_RETRY_AFTER_MS = 1_000;
/** Without a reason, each abort would make an exception. */
const ABORT_REASON = 'decided';

interface Waiter {
  readonly request: AdmissionRequest;
  readonly outcome: Deferred<Result<void>>;
}

/** Bounds the requests of one class that run at once; others wait fairly. */
export class ClassConcurrencyLimiter {
  private running = 0;
  private readonly queue = new FairQueue<Waiter>();

  get queueLength(): number {
    return this.queue.size;
  }

  /** Waits for a place. Refuses at once when the queue is full. */
  async acquire(request: AdmissionRequest): Promise<Result<void>> {
    const {concurrency, queue: queueLimit} = request.workClass;
    if (this.running < (concurrency ?? Infinity)) {
      this.running++;
      return succeed(undefined);
    }
    if (this.queue.size >= queueLimit) {
      return fail(
        new VmuxError(ErrorCodes.QueueFull, {
          retryAfterMs: QUEUE_FULL_RETRY_AFTER_MS,
        }),
      );
    }
    return this.waitInQueue(request);
  }

  /** Frees a place and hands it to the next that waits. */
  release(): void {
    this.running--;
    const next = this.queue.pop();
    if (!next) return;
    this.running++;
    next.outcome.resolve(succeed(undefined));
  }

  private async waitInQueue(request: AdmissionRequest): Promise<Result<void>> {
    const {workspace, costTokens, deadlineMs} = request;
    const waiter: Waiter = {request, outcome: new Deferred<Result<void>>()};
    this.queue.push(waiter, workspace.name, costTokens, workspace.weight);
    const timer = new AbortController();
    const stopTimer = () => timer.abort(ABORT_REASON);
    request.signal.addEventListener('abort', stopTimer, {once: true});
    void sleep(deadlineMs - monotonicMs(), timer.signal).then(() => {
      if (this.queue.remove(waiter)) {
        const code = request.signal.aborted
          ? ErrorCodes.Cancelled
          : ErrorCodes.DeadlineUnreachable;
        waiter.outcome.resolve(fail(new VmuxError(code)));
      }
    });
    const outcome = await waiter.outcome.promise;
    request.signal.removeEventListener('abort', stopTimer);
    timer.abort(ABORT_REASON);
    return outcome;
  }
}
