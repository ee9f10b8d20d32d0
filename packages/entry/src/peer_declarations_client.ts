import type {DeclaredVersion} from '@vanillamux/protocol';
import {RpcClient} from '@vanillamux/rpc';
import type {Address} from '@vanillamux/shared';
import type {EntryRouter} from './entry_router.js';

const CALL_TIMEOUT_MS = 800;

/** Reads the declarations that other entry hosts have in force. */
export class PeerDeclarationsClient {
  private readonly clients: Array<RpcClient<EntryRouter>>;

  constructor(peers: readonly Address[], from: string) {
    this.clients = peers.map(
      address => new RpcClient<EntryRouter>({address, from}),
    );
  }

  /** The highest version among the peers that answer, if there is one. */
  async fetchHighestVersion(
    haveVersion: number,
  ): Promise<DeclaredVersion | undefined> {
    const results = await Promise.all(
      this.clients.map(client =>
        client.call(
          (api, signal) => api.declared.query({haveVersion}, {signal}),
          CALL_TIMEOUT_MS,
        ),
      ),
    );
    let highest: DeclaredVersion | undefined;
    for (const result of results) {
      const declared = result.ok ? result.value : undefined;
      if (!declared || declared.version <= (highest?.version ?? 0)) continue;
      highest = declared;
    }
    return highest;
  }

  close(): void {
    for (const client of this.clients) client.close();
  }
}
