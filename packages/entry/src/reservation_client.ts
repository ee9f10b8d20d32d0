import type {EntryMesh} from '@vanillamux/membership';
import {chooseOwner, type KvReservationManager} from '@vanillamux/routing';
import {RpcClient} from '@vanillamux/rpc';
import {
  ErrorCodes,
  fail,
  getLogger,
  sleep,
  succeed,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import type {EntryRouter} from './entry_router.js';

const LEASE_MS = 3_000;
const RENEW_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;

const log = getLogger('reservation');

/** Memory wanted on one backend server. */
export interface WantedMemory {
  readonly backendId: string;
  /** Failure domain of the backend server. */
  readonly failureDomain: string;
  readonly holder: string;
  readonly tokens: number;
}

/** Memory that is reserved until it is released. */
export interface HeldMemory {
  release(): void;
}

/** What a `ReservationClient` works with. */
export interface ReservationClientOptions {
  readonly selfId: string;
  readonly failureDomain: string;
  readonly mesh: EntryMesh;
  readonly book: KvReservationManager;
}

/**
 * Reserves engine memory through the entry host that owns the backend server:
 * one of the live ones in its failure domain, or any when none is live there.
 */
export class ReservationClient {
  private readonly clients = new Map<string, RpcClient<EntryRouter>>();

  constructor(private readonly options: ReservationClientOptions) {}

  /** Reserves and keeps renewing. `QueueFull` means there is no room now. */
  async reserve(wanted: WantedMemory): Promise<Result<HeldMemory>> {
    const granted = await this.ask(wanted);
    if (!granted.ok) return granted;
    if (!granted.value) {
      const message = `no room for ${wanted.tokens} tokens on ${wanted.backendId}`;
      return fail(new VmuxError(ErrorCodes.QueueFull, {message}));
    }
    const stopping = new AbortController();
    void this.renew(wanted, stopping.signal);
    return succeed({
      release: () => {
        stopping.abort();
        void this.giveBack(wanted);
      },
    });
  }

  /** Closes the connections to other owners. */
  close(): void {
    for (const client of this.clients.values()) client.close();
  }

  private async renew(
    wanted: WantedMemory,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await sleep(RENEW_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const renewed = await this.ask(wanted);
      if (!renewed.ok || !renewed.value) {
        log.warn('A reservation was not renewed.', {holder: wanted.holder});
      }
    }
  }

  private ask(wanted: WantedMemory): Promise<Result<boolean>> {
    const request = {...wanted, leaseMs: LEASE_MS};
    const owner = this.findOwner(wanted);
    if (!owner) {
      return Promise.resolve(succeed(this.options.book.reserve(request)));
    }
    return owner.call(
      (api, signal) => api.reservations.reserve.mutate(request, {signal}),
      CALL_TIMEOUT_MS,
    );
  }

  private async giveBack(wanted: WantedMemory): Promise<void> {
    const {backendId, holder} = wanted;
    const owner = this.findOwner(wanted);
    if (!owner) {
      this.options.book.release(backendId, holder);
      return;
    }
    // A release that is lost is made up for by the end of the lease.
    await owner.call(
      (api, signal) =>
        api.reservations.release.mutate({backendId, holder}, {signal}),
      CALL_TIMEOUT_MS,
    );
  }

  /** The owner to call, or `undefined` when it is this host. */
  private findOwner({
    backendId,
    failureDomain,
  }: WantedMemory): RpcClient<EntryRouter> | undefined {
    const {selfId, mesh} = this.options;
    const hosts = [
      {id: selfId, failureDomain: this.options.failureDomain},
      ...mesh.livePeers(),
    ];
    const near = hosts.filter(host => host.failureDomain === failureDomain);
    const pool = near.length > 0 ? near : hosts;
    const owner = chooseOwner(
      backendId,
      pool.map(({id}) => id),
    );
    const peer = mesh.livePeers().find(({id}) => id === owner);
    return peer && this.clientOf(peer.id, peer.address);
  }

  private clientOf(id: string, address: Address): RpcClient<EntryRouter> {
    let client = this.clients.get(id);
    if (!client) {
      client = new RpcClient<EntryRouter>({
        address,
        from: this.options.selfId,
      });
      this.clients.set(id, client);
    }
    return client;
  }
}
