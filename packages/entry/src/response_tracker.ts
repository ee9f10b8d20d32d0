import type {Server, ServerResponse} from 'node:http';
import {monotonicMs, sleep} from '@vanillamux/shared';

const POLL_INTERVAL_MS = 20;

/** Tracks the responses of a server that have not been written out. */
export class ResponseTracker {
  private readonly open = new Set<ServerResponse>();

  constructor(server: Server) {
    server.on('request', (_req, res: ServerResponse) => {
      this.open.add(res);
      res.on('close', () => this.open.delete(res));
    });
  }

  /** Waits until every response is written or its client gone. */
  async waitUntilWritten(timeoutMs: number): Promise<void> {
    const deadlineMs = monotonicMs() + timeoutMs;
    while (this.open.size > 0 && monotonicMs() < deadlineMs) {
      await sleep(POLL_INTERVAL_MS);
    }
  }
}
