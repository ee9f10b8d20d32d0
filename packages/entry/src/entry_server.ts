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
    private readonly callers: Server,
    private readonly internal: Server,
    private readonly closeRpc: () => void,
  ) {}

  /** Listens for callers, backend servers, peers and operators. */
  static async start(settings: EntrySettings): Promise<Result<EntryServer>> {
    const host = new EntryHost(settings, await BlockHasher.create());
    const callers = createCallerServer(host);
    const internal = createInternalServer(host);
    const closeRpc = serveRpc(internal, createEntryRouter(host));
    const internalPort = await listen(internal, settings.internal);
    if (!internalPort.ok) return internalPort;
    const callerPort = await listen(callers, settings.listen);
    if (!callerPort.ok) return callerPort;
    host.start();
    log.info('Listening.', {
      callers: callerPort.value,
      internal: internalPort.value,
    });
    return succeed(new EntryServer(host, callers, internal, closeRpc));
  }

  /** Shuts down without cutting off a request. */
  async stop(): Promise<void> {
    const {host} = this;
    host.beginDrain();
    await sleep(host.settings.drainNoticeMs);
    this.callers.close();
    this.callers.closeIdleConnections();
    await host.finishDrain();
    await host.close();
    this.closeRpc();
    this.internal.close();
    this.internal.closeAllConnections();
    this.callers.closeAllConnections();
  }
}
