import type {Server} from 'node:http';
import {serveRpc} from '@vanillamux/rpc';
import {
  acceptArrived,
  getLogger,
  listen,
  monotonicMs,
  pollIo,
  sleep,
  succeed,
  type ClientServer,
  type Result,
} from '@vanillamux/shared';
import {BlockHasher} from './block_hasher.js';
import {createCallerServer} from './create_caller_server.js';
import {createInternalServer} from './create_internal_server.js';
import {EntryHost} from './entry_host.js';
import {createEntryRouter} from './entry_router.js';
import type {EntrySettings} from './entry_settings.js';

/**
 * Time for the last responses after the deadlines of their requests; settling
 * an outcome takes up to 3 s of it.
 */
const RESPONSE_TIMEOUT_MS = 5_000;
const CLOSE_INTERVAL_MS = 20;

const log = getLogger('entry');

/** An entry host with its public and its internal HTTP server. */
export class EntryServer {
  private constructor(
    readonly host: EntryHost,
    private readonly callerServer: ClientServer,
    private readonly internalServer: Server,
    private readonly closeRpc: () => void,
  ) {}

  /** Starts listening for callers, backend servers, peers and operators. */
  static async start(settings: EntrySettings): Promise<Result<EntryServer>> {
    const host = new EntryHost(settings, await BlockHasher.create());
    const callerServer = createCallerServer(host);
    const internalServer = createInternalServer(host);
    const closeRpc = serveRpc(internalServer, createEntryRouter(host));
    const internalPort = await listen(internalServer, settings.internal);
    if (!internalPort.ok) return internalPort;
    const callerPort = await listen(callerServer, settings.listen);
    if (!callerPort.ok) return callerPort;
    host.start();
    log.info('Listening.', {
      callers: callerPort.value,
      internal: internalPort.value,
    });
    return succeed(
      new EntryServer(host, callerServer, internalServer, closeRpc),
    );
  }

  /**
   * Shuts down once the requests in flight have finished or reached their
   * deadlines, and their responses have been written.
   */
  async stop(): Promise<void> {
    const {host, callerServer} = this;
    host.beginDrain();
    callerServer.startDraining();
    await sleep(host.settings.drainNoticeMs);
    await acceptArrived([callerServer]);
    callerServer.close();
    await host.waitForDrain();
    await this.closeIdleConnections();
    await host.close();
    this.closeRpc();
    this.internalServer.close();
    this.internalServer.closeAllConnections();
    callerServer.closeAllConnections();
  }

  /**
   * Closes each connection once no request is in progress on it, of which a part
   * may have arrived.
   */
  private async closeIdleConnections(): Promise<void> {
    const {callerServer} = this;
    const endMs = monotonicMs() + RESPONSE_TIMEOUT_MS;
    await pollIo();
    callerServer.closeIdleConnections();
    while (callerServer.connectionCount > 0 && monotonicMs() < endMs) {
      await sleep(CLOSE_INTERVAL_MS);
      await pollIo();
      callerServer.closeIdleConnections();
    }
  }
}
