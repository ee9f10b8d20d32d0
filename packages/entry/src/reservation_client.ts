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
const RPC_TIMEOUT_MS = 800;

const log = getLogger('reservation');

/** Memory wanted on one backend server. */
export interface ReservationRequest {
  readonly backendId: string;
  /** Failure domain of the backend server. */
  readonly failureDomain: string;
  readonly holder: string;
  readonly tokens: number;
}

/** Memory that is reserved until it is released. */
export interface MemoryReservation {
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
  private readonly ownerClients = new Map<string, RpcClient<EntryRouter>>();

  constructor(private readonly options: ReservationClientOptions) {}

  /** Reserves and keeps renewing. `QueueFull` means there is no room now. */
  async reserve(
    request: ReservationRequest,
  ): Promise<Result<MemoryReservation>> {
    const grant = await this.requestGrant(request);
    if (!grant.ok) return grant;
    if (!grant.value) {
      const message = `no room for ${request.tokens} tokens on ${request.backendId}`;
      return fail(new VmuxError(ErrorCodes.QueueFull, {message}));
    }
    const renewalController = new AbortController();
    void this.renew(request, renewalController.signal);
    return succeed({
      release: () => {
        renewalController.abort();
        void this.releaseGrant(request);
      },
    });
  }

  /** Closes the connections to other owners. */
  close(): void {
    for (const client of this.ownerClients.values()) client.close();
  }

  private async renew(
    request: ReservationRequest,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await sleep(RENEW_INTERVAL_MS, signal);
      if (signal.aborted) return;
      const renewal = await this.requestGrant(request);
      if (!renewal.ok || !renewal.value) {
        log.warn('A reservation was not renewed.', {holder: request.holder});
      }
    }
  }

  private requestGrant(request: ReservationRequest): Promise<Result<boolean>> {
    const leaseRequest = {...request, leaseMs: LEASE_MS};
    const ownerClient = this.findOwnerClient(request);
    if (!ownerClient) {
      return Promise.resolve(succeed(this.options.book.reserve(leaseRequest)));
    }
    return ownerClient.call(
      (api, signal) => api.reservations.reserve.mutate(leaseRequest, {signal}),
      RPC_TIMEOUT_MS,
    );
  }

  private async releaseGrant(request: ReservationRequest): Promise<void> {
    const {backendId, holder} = request;
    const ownerClient = this.findOwnerClient(request);
    if (!ownerClient) {
      this.options.book.release(backendId, holder);
      return;
    }
    // A release that is lost is made up for by the end of the lease.
    await ownerClient.call(
      (api, signal) =>
        api.reservations.release.mutate({backendId, holder}, {signal}),
      RPC_TIMEOUT_MS,
    );
  }

  /** The owner to call, or `undefined` when it is this host. */
  private findOwnerClient({
    backendId,
    failureDomain,
  }: ReservationRequest): RpcClient<EntryRouter> | undefined {
    const {selfId, mesh} = this.options;
    const hosts = [
      {id: selfId, failureDomain: this.options.failureDomain},
      ...mesh.livePeers(),
    ];
    const domainHosts = hosts.filter(
      host => host.failureDomain === failureDomain,
    );
    const eligibleHosts = domainHosts.length > 0 ? domainHosts : hosts;
    const ownerId = chooseOwner(
      backendId,
      eligibleHosts.map(({id}) => id),
    );
    const ownerPeer = mesh.livePeers().find(({id}) => id === ownerId);
    return ownerPeer && this.getOrCreateClient(ownerPeer.id, ownerPeer.address);
  }

  private getOrCreateClient(
    id: string,
    address: Address,
  ): RpcClient<EntryRouter> {
    let client = this.ownerClients.get(id);
    if (!client) {
      client = new RpcClient<EntryRouter>({
        address,
        from: this.options.selfId,
      });
      this.ownerClients.set(id, client);
    }
    return client;
  }
}
