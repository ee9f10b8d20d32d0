import type {Server} from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';

const PING_INTERVAL_MS = 2_000;
const PONG_TIMEOUT_MS = 1_000;
const MAX_MESSAGE_BYTES = 32 * 1_024 * 1_024;
/**
 * Messages from this size on are compressed: configurations and batches of the
 * record shrink several times, and bytes between failure domains are dear.
 */
const COMPRESSION_THRESHOLD_BYTES = 1_024;

/** Path under which processes reach each other's routers. */
export const RPC_PATH = '/rpc';

/**
 * Serves a router over WebSocket. Connections that do not answer a ping in
 * time are closed. Returns the function that closes all of them.
 */
export function serveRpc(server: Server, router: AnyRouter): () => void {
  const wss = new WebSocketServer({
    server,
    path: RPC_PATH,
    maxPayload: MAX_MESSAGE_BYTES,
    // Without a context for each connection, memory does not grow with them.
    perMessageDeflate: {
      threshold: COMPRESSION_THRESHOLD_BYTES,
      serverNoContextTakeover: true,
      clientNoContextTakeover: true,
    },
  });
  // The HTTP server reports its own errors; without a listener here the copy
  // that ws re-emits would stop the process on a port that is taken.
  wss.on('error', () => {});
  applyWSSHandler({
    wss,
    router,
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
