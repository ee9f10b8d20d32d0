import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {WorkspaceDeclaration} from '@vanillamux/protocol';
import type {AdmissionRequest} from './admission_request.js';
import {ClassConcurrencyLimiter} from './class_concurrency_limiter.js';
import {Permit} from './permit.js';
import {TokenBucket} from './token_bucket.js';

const DEFAULT_BURST_SECONDS = 10;
const CONCURRENCY_RETRY_AFTER_MS = 500;

/** Limits of one workspace on this host. */
interface WorkspaceUsage {
  bucket?: TokenBucket;
  tokensPerSecond?: number;
  running: number;
}

/** Decides whether a request may run, may wait or is refused at once. */
export class AdmissionController {
  private readonly usageByWorkspace = new Map<string, WorkspaceUsage>();
  private readonly limitersByClass = new Map<string, ClassConcurrencyLimiter>();

  /** Returns a permit, or the reason for the refusal. Nothing has run. */
  async admit(request: AdmissionRequest): Promise<Result<Permit>> {
    const {workspace, workClass, costTokens} = request;
    const usage = this.usageOf(workspace);
    if (usage.running >= workspace.concurrency) {
      const options = {retryAfterMs: CONCURRENCY_RETRY_AFTER_MS};
      return fail(new VmuxError(ErrorCodes.ConcurrencyLimited, options));
    }
    const retryAfterMs = usage.bucket?.tryAcquire(costTokens) ?? 0;
    if (retryAfterMs > 0) {
      return fail(new VmuxError(ErrorCodes.RateLimited, {retryAfterMs}));
    }
    usage.running++;
    const limiter = this.limiterOf(workClass.name);
    const acquired = await limiter.acquire(request);
    if (!acquired.ok) {
      usage.running--;
      usage.bucket?.refund(costTokens);
      return acquired;
    }
    return succeed(
      new Permit(() => {
        usage.running--;
        limiter.release();
      }),
    );
  }

  /** Requests that wait, by class. */
  queueLengths(): Map<string, number> {
    return new Map(
      [...this.limitersByClass].map(([name, limiter]) => [
        name,
        limiter.queueLength,
      ]),
    );
  }

  /** Forgets workspaces that are no longer declared and run nothing. */
  retain(names: ReadonlySet<string>): void {
    for (const [name, {running}] of this.usageByWorkspace) {
      if (!names.has(name) && running === 0) this.usageByWorkspace.delete(name);
    }
  }

  private usageOf(workspace: WorkspaceDeclaration): WorkspaceUsage {
    const {name, tokensPerSecond, burstTokens} = workspace;
    let usage = this.usageByWorkspace.get(name);
    if (!usage) {
      usage = {running: 0};
      this.usageByWorkspace.set(name, usage);
    }
    if (usage.tokensPerSecond !== tokensPerSecond) {
      usage.tokensPerSecond = tokensPerSecond;
      usage.bucket = tokensPerSecond
        ? new TokenBucket({
            tokensPerSecond,
            burstTokens: burstTokens ?? tokensPerSecond * DEFAULT_BURST_SECONDS,
          })
        : undefined;
    }
    return usage;
  }

  private limiterOf(className: string): ClassConcurrencyLimiter {
    let limiter = this.limitersByClass.get(className);
    if (!limiter) {
      limiter = new ClassConcurrencyLimiter();
      this.limitersByClass.set(className, limiter);
    }
    return limiter;
  }
}
