import {
  ErrorCodes,
  fail,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {
  RaftTransport,
  type AppendReply,
  type AppendRequest,
  type Member,
  type RaftNode,
  type SnapshotReply,
  type SnapshotRequest,
  type VoteReply,
  type VoteRequest,
} from '../src/index.js';

/** How a fake network treats messages. */
export interface NetworkConditions {
  /** Share of messages, requests and answers alike, that vanish. */
  loss: number;
  /** Share of requests that are delivered twice. */
  duplication: number;
  maxDelayMs: number;
}

/** Carries messages between the members of a test in this process. */
export class FakeNetwork {
  readonly conditions: NetworkConditions = {
    loss: 0,
    duplication: 0,
    maxDelayMs: 1,
  };
  private readonly nodes = new Map<string, RaftNode>();
  private readonly isolatedIds = new Set<string>();

  constructor(private readonly random: () => number) {}

  attach(id: string, node: RaftNode): void {
    this.nodes.set(id, node);
  }

  detach(id: string): void {
    this.nodes.delete(id);
  }

  /** Cuts a member off: messages from and to it vanish. */
  isolate(id: string): void {
    this.isolatedIds.add(id);
  }

  heal(): void {
    this.isolatedIds.clear();
  }

  transport(from: string): RaftTransport {
    return new FakeTransport((to, handle, timeoutMs) =>
      this.call(from, to, handle, timeoutMs),
    );
  }

  private async call<T>(
    from: string,
    to: string,
    handle: (node: RaftNode) => Promise<T>,
    timeoutMs: number,
  ): Promise<Result<T>> {
    await this.delay();
    if (this.isLost(from, to)) return this.timeOut(timeoutMs);
    const node = this.nodes.get(to);
    if (!node) return this.timeOut(timeoutMs);
    if (this.random() < this.conditions.duplication) {
      void this.delay().then(() => handle(node).catch(() => undefined));
    }
    const reply = await handle(node).then(
      value => ({value}),
      () => undefined,
    );
    await this.delay();
    if (!reply || this.isLost(from, to)) return this.timeOut(timeoutMs);
    return succeed(reply.value);
  }

  private isLost(from: string, to: string): boolean {
    if (this.isolatedIds.has(from) || this.isolatedIds.has(to)) return true;
    return this.random() < this.conditions.loss;
  }

  private async timeOut<T>(timeoutMs: number): Promise<Result<T>> {
    await sleep(timeoutMs);
    return fail(new VmuxError(ErrorCodes.Timeout));
  }

  private delay(): Promise<void> {
    return sleep(this.random() * this.conditions.maxDelayMs);
  }
}

type Call = <T>(
  to: string,
  handle: (node: RaftNode) => Promise<T>,
  timeoutMs: number,
) => Promise<Result<T>>;

class FakeTransport extends RaftTransport {
  constructor(private readonly call: Call) {
    super();
  }

  vote(
    to: Member,
    request: VoteRequest,
    timeoutMs: number,
  ): Promise<Result<VoteReply>> {
    return this.call(to.id, node => node.handleVote(request), timeoutMs);
  }

  append(
    to: Member,
    request: AppendRequest,
    timeoutMs: number,
  ): Promise<Result<AppendReply>> {
    const copy = structuredClone(request);
    return this.call(to.id, node => node.handleAppend(copy), timeoutMs);
  }

  snapshot(
    to: Member,
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotReply>> {
    return this.call(to.id, node => node.handleSnapshot(request), timeoutMs);
  }

  close(): void {}
}
