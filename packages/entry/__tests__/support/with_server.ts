import assert from 'node:assert/strict';
import type {Server} from 'node:http';
import {listen} from '@vanillamux/shared';

/** Serves while `send` runs, which receives the URL. */
export async function withServer(
  server: Server,
  send: (url: string) => Promise<void>,
): Promise<void> {
  const port = await listen(server, {host: '127.0.0.1', port: 0});
  assert.ok(port.ok);
  try {
    await send(`http://127.0.0.1:${port.value}`);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}
