import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {WorkspaceDeclaration} from '@vanillamux/protocol';
import type {AdmissionRequest} from './admission_request.js';
import {ClassGate} from './class_gate.js';
import {Permit} from './permit.js';
import {TokenBucket} from './token_bucket.js';

const BURST_SECONDS = 10;
const RETRY_AFTER_MS = 500;

/** Limits of one workspace on this host. */
interface WorkspaceMeter {
  bucket?: TokenBucket;
  tokensPerSecond?: number;
  running: number;
}

/** Decides whether a request may run, may wait or is refused at once. */
export class Admission {
  private readonly meters = new Map<string, WorkspaceMeter>();
  private readonly gates = new Map<string, ClassGate>();

  /** Returns a permit, or the reason for the refusal. Nothing has run. */
  async admit(request: AdmissionRequest): Promise<Result<Permit>> {
    const {workspace, workClass, costTokens} = request;
    const meter = this.meterOf(workspace);
    if (meter.running >= workspace.concurrency) {
      const options = {retryAfterMs: RETRY_AFTER_MS};
      return fail(new VmuxError(ErrorCodes.ConcurrencyLimited, options));
    }
    const retryAfterMs = meter.bucket?.take(costTokens) ?? 0;
    if (retryAfterMs > 0) {
      return fail(new VmuxError(ErrorCodes.RateLimited, {retryAfterMs}));
    }
    meter.running++;
    const gate = this.gateOf(workClass.name);
    const entered = await gate.enter(request);
    if (!entered.ok) {
      meter.running--;
      meter.bucket?.giveBack(costTokens);
      return entered;
    }
    return succeed(
      new Permit(() => {
        meter.running--;
        gate.leave();
      }),
    );
  }

  /** Requests that wait, by class. */
  waiting(): Map<string, number> {
    return new Map([...this.gates].map(([name, gate]) => [name, gate.waiting]));
  }

  /** Forgets workspaces that are no longer declared and run nothing. */
  retain(names: ReadonlySet<string>): void {
    for (const [name, {running}] of this.meters) {
      if (!names.has(name) && running === 0) this.meters.delete(name);
    }
  }

  private meterOf(workspace: WorkspaceDeclaration): WorkspaceMeter {
    const {name, tokensPerSecond, burstTokens} = workspace;
    let meter = this.meters.get(name);
    if (!meter) {
      meter = {running: 0};
      this.meters.set(name, meter);
    }
    if (meter.tokensPerSecond !== tokensPerSecond) {
      meter.tokensPerSecond = tokensPerSecond;
      meter.bucket = tokensPerSecond
        ? new TokenBucket({
            tokensPerSecond,
            burstTokens: burstTokens ?? tokensPerSecond * BURST_SECONDS,
          })
        : undefined;
    }
    return meter;
  }

  private gateOf(className: string): ClassGate {
    let gate = this.gates.get(className);
    if (!gate) {
      gate = new ClassGate();
      this.gates.set(className, gate);
    }
    return gate;
  }
}
