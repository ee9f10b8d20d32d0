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

const log = getLogger('entry');

/** A running entry host. */
export class EntryServer {
  private constructor(
    readonly host: EntryHost,
    private readonly callerServer: Server,
    private readonly internalServer: Server,
    private readonly closeRpc: () => void,
  ) {}

  /** Listens for callers, backend servers, peers and operators. */
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

  /** Shuts down without cutting off a request. */
  async stop(): Promise<void> {
    const {host} = this;
    host.beginDrain();
    await sleep(host.settings.drainNoticeMs);
    this.callerServer.close();
    this.callerServer.closeIdleConnections();
    await host.waitForDrain();
    await host.close();
    this.closeRpc();
    this.internalServer.close();
    this.internalServer.closeAllConnections();
    this.callerServer.closeAllConnections();
  }
}
