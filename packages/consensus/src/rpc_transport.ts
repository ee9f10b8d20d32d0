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

/** Connections to one member. */
interface MemberClients {
  readonly small: RpcClient<MemberRouter>;
  /** For what is compressed, so that heartbeats don't wait behind it. */
  readonly large: RpcClient<MemberRouter>;
}

/** Sends requests over two WebSockets per member address. */
export class RpcTransport extends RaftTransport {
  private readonly clients = new Map<string, MemberClients>();

  /** `hostId` is the id of the calling host. */
  constructor(private readonly hostId: string) {
    super();
  }

  vote(
    to: Member,
    request: VoteRequest,
    timeoutMs: number,
  ): Promise<Result<VoteReply>> {
    return this.getClients(to).small.call(
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
    const {small, large} = this.getClients(to);
    const client = request.entries.length > 0 ? large : small;
    return client.call(
      (api, signal) =>
        api.raft.append.mutate({...request, to: to.id}, {signal}),
      timeoutMs,
    );
  }

  snapshot(
    to: Member,
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotReply>> {
    return this.getClients(to).large.call(
      (client, signal) =>
        client.raft.snapshot.mutate({...request, to: to.id}, {signal}),
      timeoutMs,
    );
  }

  close(): void {
    for (const {small, large} of this.clients.values()) {
      small.close();
      large.close();
    }
    this.clients.clear();
  }

  private getClients({address}: Member): MemberClients {
    const key = `${address.host}:${address.port}`;
    let clients = this.clients.get(key);
    if (!clients) {
      const options = {address, from: this.hostId};
      clients = {small: new RpcClient(options), large: new RpcClient(options)};
      this.clients.set(key, clients);
    }
    return clients;
  }
}
