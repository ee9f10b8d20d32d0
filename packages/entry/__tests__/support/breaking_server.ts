import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {Address} from '@vanillamux/shared';
import {BreakState} from './break_state.js';
import type {BreakingServerOptions} from './breaking_server_options.js';

const MAX_BUSY_MS = 5_000;

/** Server in a thread of its own that breaks off its response. */
export class BreakingServer {
  private constructor(
    private readonly thread: Worker,
    readonly address: Address,
  ) {}

  static async start(options: BreakingServerOptions): Promise<BreakingServer> {
    const sharedState = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const state = new Int32Array(sharedState);
    const thread = new Worker(
      new URL('./breaking_server_thread.js', import.meta.url),
      {workerData: {...options, sharedState}},
    );
    const [port] = (await once(thread, 'message')) as [number];
    thread.once('message', () => {
      Atomics.store(state, 0, BreakState.ReaderBusy);
      Atomics.notify(state, 0);
      Atomics.wait(state, 0, BreakState.ReaderBusy, MAX_BUSY_MS);
    });
    return new BreakingServer(thread, {host: '127.0.0.1', port});
  }

  async stop(): Promise<void> {
    await this.thread.terminate();
  }
}
