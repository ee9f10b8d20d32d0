import {RpcClient} from '@vanillamux/rpc';
import {formatAddress, type Address} from '@vanillamux/shared';
import type {ControlRouter} from './control_router.js';

/** Connections to control hosts, opened when first used. */
export class PeerClients {
  private readonly clients = new Map<string, RpcClient<ControlRouter>>();

  /** `from` names the calling process. */
  constructor(private readonly from: string) {}

  /** The connection to one host. */
  get(address: Address): RpcClient<ControlRouter> {
    const key = formatAddress(address);
    const existing = this.clients.get(key);
    if (existing) return existing;
    const client = new RpcClient<ControlRouter>({address, from: this.from});
    this.clients.set(key, client);
    return client;
  }

  /** Closes the connections to all but these hosts. */
  retainOnly(addresses: readonly Address[]): void {
    const retainedKeys = new Set(addresses.map(formatAddress));
    for (const [key, client] of this.clients) {
      if (retainedKeys.has(key)) continue;
      client.close();
      this.clients.delete(key);
    }
  }

  /** Closes every connection. */
  close(): void {
    this.retainOnly([]);
  }
}
