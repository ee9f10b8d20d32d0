import type {Server} from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import {MAX_MESSAGE_BYTES} from './max_message_bytes.js';
import {messageEncoder} from './message_encoder.js';
import {RpcSocket} from './rpc_socket.js';

const PING_INTERVAL_MS = 2_000;
const PONG_TIMEOUT_MS = 1_000;
/**
 * Messages of at least this size are compressed: configurations and batches of
 * record entries shrink several times, and traffic between failure domains is
 * expensive.
 */
const COMPRESSION_THRESHOLD_BYTES = 1_024;

/** Path at which processes serve their routers to each other. */
export const RPC_PATH = '/rpc';

/**
 * Serves a router over WebSocket. Closes connections that do not answer a ping
 * in time. Returns a function that closes all connections.
 */
export function serveRpc(server: Server, router: AnyRouter): () => void {
  const wss = new WebSocketServer({
    WebSocket: RpcSocket,
    server,
    path: RPC_PATH,
    maxPayload: MAX_MESSAGE_BYTES,
    // Compression contexts per connection would cost memory for each client.
    perMessageDeflate: {
      threshold: COMPRESSION_THRESHOLD_BYTES,
      serverNoContextTakeover: true,
      clientNoContextTakeover: true,
    },
  });
  // The HTTP server reports its own errors. Without this listener, the copy
  // that ws re-emits would stop the process when the port is already in use.
  wss.on('error', () => {});
  applyWSSHandler({
    wss,
    router,
    experimental_encoder: messageEncoder,
    keepAlive: {
      enabled: true,
      pingMs: PING_INTERVAL_MS,
      pongWaitMs: PONG_TIMEOUT_MS,
    },
  });
  return () => {
    for (const socket of wss.clients) socket.terminate();
    wss.close();
  };
}
