import type {Server} from 'node:http';
import {serveRpc} from '@vanillamux/rpc';
import {
  getLogger,
  listen,
  sleep,
  succeed,
  type Result,
} from '@vanillamux/shared';
import {BlockHasher} from './block_hasher.js';
import {createCallerServer} from './create_caller_server.js';
import {createInternalServer} from './create_internal_server.js';
import {EntryHost} from './entry_host.js';
import {createEntryRouter} from './entry_router.js';
import type {EntrySettings} from './entry_settings.js';
import {ResponseTracker} from './response_tracker.js';

/**
 * Time for the last responses after the deadlines of their requests; settling
 * an outcome takes up to 3 s of it.
 */
const RESPONSE_TIMEOUT_MS = 5_000;

const log = getLogger('entry');

/** An entry host with its public and its internal HTTP server. */
export class EntryServer {
  private constructor(
    readonly host: EntryHost,
    private readonly callerServer: Server,
    private readonly responses: ResponseTracker,
    private readonly internalServer: Server,
    private readonly closeRpc: () => void,
  ) {}

  /** Starts listening for callers, backend servers, peers and operators. */
  static async start(settings: EntrySettings): Promise<Result<EntryServer>> {
    const host = new EntryHost(settings, await BlockHasher.create());
    const callerServer = createCallerServer(host);
    const responses = new ResponseTracker(callerServer);
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
      new EntryServer(host, callerServer, responses, internalServer, closeRpc),
    );
  }

  /**
   * Shuts down once the requests in flight have finished or reached their
   * deadlines, and their responses have been written.
   */
  async stop(): Promise<void> {
    const {host} = this;
    host.beginDrain();
    await sleep(host.settings.drainNoticeMs);
    this.callerServer.close();
    this.callerServer.closeIdleConnections();
    await host.waitForDrain();
    await this.responses.waitUntilWritten(RESPONSE_TIMEOUT_MS);
    await host.close();
    this.closeRpc();
    this.internalServer.close();
    this.internalServer.closeAllConnections();
    this.callerServer.closeAllConnections();
  }
}
