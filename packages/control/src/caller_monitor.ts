import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {monotonicMs, type StallMonitor} from '@vanillamux/shared';
import type {Caller} from './caller.js';

interface Connection {
  readonly acceptedMs: number;
  /** Time for which the connection may have waited to be accepted. */
  readonly unacceptedMs: number;
  requestCount: number;
}

/** Tells whether the callers of an HTTP server still wait for their responses. */
export class CallerMonitor {
  private readonly connections = new WeakMap<Socket, Connection>();

  constructor(
    server: Server,
    private readonly stalls: Pick<StallMonitor, 'longestMs'>,
  ) {
    server.on('connection', (socket: Socket) =>
      this.connections.set(socket, {
        acceptedMs: monotonicMs(),
        unacceptedMs: stalls.longestMs(),
        requestCount: 0,
      }),
    );
    server.prependListener('request', ({socket}: IncomingMessage) => {
      const connection = this.connections.get(socket);
      if (connection) connection.requestCount++;
    });
  }

  /** Watches the caller of a request that has just been read. */
  watch({socket}: IncomingMessage, res: ServerResponse): Caller {
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    socket.once('end', abort).once('close', abort);
    res.once('close', () => socket.off('end', abort).off('close', abort));
    return {
      signal: controller.signal,
      unreadMs: Math.max(this.stalls.longestMs(), this.firstRequestMs(socket)),
    };
  }

  /** Time before the first request of a connection: it may have been held up. */
  private firstRequestMs(socket: Socket): number {
    const connection = this.connections.get(socket);
    if (connection?.requestCount !== 1) return 0;
    const {acceptedMs, unacceptedMs} = connection;
    return unacceptedMs + monotonicMs() - acceptedMs;
  }
}
