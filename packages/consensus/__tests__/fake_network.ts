import {
  ErrorCodes,
  fail,
  monotonicMs,
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

/** Work that waits at a member before further messages are dropped. */
const MAX_BACKLOG_MS = 200;

/** Faults and delays that a `FakeNetwork` injects. */
export interface NetworkConditions {
  /** Share of requests and of replies that are lost. */
  loss: number;
  /** Share of requests that are delivered twice. */
  duplication: number;
  maxDelayMs: number;
  /** Characters that a member receives and handles in a millisecond. */
  charactersPerMs: number;
  /** Time that entries take beyond it, on a connection of their own. */
  entriesDelayMs: number;
}

/** Network between the members of a test, which run in this process. */
export class FakeNetwork {
  readonly conditions: NetworkConditions = {
    loss: 0,
    duplication: 0,
    maxDelayMs: 1,
    charactersPerMs: Infinity,
    entriesDelayMs: 0,
  };
  /** Time until which each member is busy with what it has received. */
  private readonly busyUntilMs = new Map<string, number>();
  private readonly nodes = new Map<string, RaftNode>();
  private readonly isolatedIds = new Set<string>();

  constructor(private readonly random: () => number) {}

  attach(id: string, node: RaftNode): void {
    this.nodes.set(id, node);
  }

  detach(id: string): void {
    this.nodes.delete(id);
  }

  /** Isolates a member: all messages from and to it are lost. */
  isolate(id: string): void {
    this.isolatedIds.add(id);
  }

  heal(): void {
    this.isolatedIds.clear();
  }

  transport(from: string): RaftTransport {
    return new FakeTransport((to, handle, timeoutMs) =>
      this.callWithin(from, to, handle, timeoutMs),
    );
  }

  /** Fails a call that takes too long; the receiver handles it all the same. */
  private async callWithin<T>(
    from: string,
    to: string,
    {handle, characters}: FakeRequest<T>,
    timeoutMs: number,
  ): Promise<Result<T>> {
    const timer = new AbortController();
    const result = await Promise.race([
      this.call(
        from,
        to,
        async node => {
          const hasReceived = await this.receive(to, characters);
          if (characters > 0) await sleep(this.conditions.entriesDelayMs);
          if (hasReceived) return handle(node);
          throw new Error('the connection was replaced');
        },
        timeoutMs,
      ),
      sleep(timeoutMs, timer.signal).then(() =>
        fail(new VmuxError(ErrorCodes.Timeout)),
      ),
    ]);
    timer.abort();
    return result;
  }

  /**
   * Takes the time that a member needs for what it receives. Returns false if
   * that much is waiting that the message is dropped with its connection.
   */
  private async receive(to: string, characters: number): Promise<boolean> {
    const nowMs = monotonicMs();
    const startMs = Math.max(nowMs, this.busyUntilMs.get(to) ?? 0);
    if (startMs - nowMs > MAX_BACKLOG_MS) return false;
    const endMs = startMs + characters / this.conditions.charactersPerMs;
    this.busyUntilMs.set(to, endMs);
    if (endMs > nowMs) await sleep(endMs - nowMs);
    return true;
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
    if (node.selfId !== to) {
      return fail(new VmuxError(ErrorCodes.NotFound));
    }
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

interface FakeRequest<T> {
  readonly handle: (node: RaftNode) => Promise<T>;
  /** Size of what the request carries. */
  readonly characters: number;
}

type Call = <T>(
  to: string,
  request: FakeRequest<T>,
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
    return this.call(
      to.id,
      {handle: node => node.handleVote(request), characters: 0},
      timeoutMs,
    );
  }

  append(
    to: Member,
    request: AppendRequest,
    timeoutMs: number,
  ): Promise<Result<AppendReply>> {
    const copy = structuredClone(request);
    const characters = copy.entries.reduce(
      (sum, {data}) => sum + data.length,
      0,
    );
    return this.call(
      to.id,
      {handle: node => node.handleAppend(copy), characters},
      timeoutMs,
    );
  }

  snapshot(
    to: Member,
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotReply>> {
    return this.call(
      to.id,
      {
        handle: node => node.handleSnapshot(request),
        characters: request.chunk.length,
      },
      timeoutMs,
    );
  }

  close(): void {}
}
