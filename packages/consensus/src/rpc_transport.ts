import type {rpcBuilder} from '@vanillamux/rpc';
import {RpcClient} from '@vanillamux/rpc';
import type {Result} from '@vanillamux/shared';
import type {Member} from './member.js';
import type {
  AppendReply,
  AppendRequest,
  SnapshotReply,
  SnapshotRequest,
  VoteReply,
  VoteRequest,
} from './messages.js';
import type {RaftRouter} from './raft_router.js';
import {RaftTransport} from './raft_transport.js';

type MemberRouter = ReturnType<typeof rpcBuilder.router<{raft: RaftRouter}>>;

/** Carries messages over one WebSocket per member. */
export class RpcTransport extends RaftTransport {
  private readonly clients = new Map<string, RpcClient<MemberRouter>>();

  /** `from` is the id of the calling host. */
  constructor(private readonly hostId: string) {
    super();
  }

  vote(
    to: Member,
    request: VoteRequest,
    timeoutMs: number,
  ): Promise<Result<VoteReply>> {
    return this.getClient(to).call(
      (client, signal) =>
        client.raft.vote.mutate({...request, to: to.id}, {signal}),
      timeoutMs,
    );
  }

  append(
    to: Member,
    request: AppendRequest,
    timeoutMs: number,
  ): Promise<Result<AppendReply>> {
    return this.getClient(to).call(
      (client, signal) =>
        client.raft.append.mutate({...request, to: to.id}, {signal}),
      timeoutMs,
    );
  }

  snapshot(
    to: Member,
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotReply>> {
    return this.getClient(to).call(
      (client, signal) =>
        client.raft.snapshot.mutate({...request, to: to.id}, {signal}),
      timeoutMs,
    );
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private getClient({address}: Member): RpcClient<MemberRouter> {
    const key = `${address.host}:${address.port}`;
    let client = this.clients.get(key);
    if (!client) {
      client = new RpcClient<MemberRouter>({address, from: this.hostId});
      this.clients.set(key, client);
    }
    return client;
  }
}
