import {
  createTRPCClient,
  createWSClient,
  TRPCClientError,
  wsLink,
  type TRPCClient,
} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {
  ErrorCodes,
  fail,
  RunState,
  succeed,
  VmuxError,
  type Address,
  type Result,
  type VmuxErrorBody,
} from '@vanillamux/shared';
import {WebSocket} from 'ws';
import {ConnectionWatch} from './connection_watch.js';
import {RPC_PATH} from './serve_rpc.js';

const DEFAULT_TIMEOUT_MS = 2_000;
const PING_INTERVAL_MS = 1_000;
const PONG_TIMEOUT_MS = 1_000;
const INITIAL_RECONNECT_DELAY_MS = 20;
const MAX_RECONNECT_DELAY_MS = 500;

/** Options of an `RpcClient`. */
export interface RpcClientOptions {
  readonly address: Address;
  /** Time after which a call without a response fails. */
  readonly timeoutMs?: number;
  /** Name of the calling process, sent to the peer in the URL. */
  readonly from?: string;
}

/**
 * Calls the router of one process over a WebSocket. The connection is replaced
 * when it closes, misses a pong, or delivers nothing while a call waits in vain.
 */
export class RpcClient<R extends AnyRouter> {
  readonly address: Address;
  private readonly timeoutMs: number;
  private readonly query: string;
  private watch = new ConnectionWatch();
  private socket: ReturnType<typeof createWSClient>;
  private client: TRPCClient<R>;

  constructor(options: RpcClientOptions) {
    this.address = options.address;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.query = options.from
      ? `?from=${encodeURIComponent(options.from)}`
      : '';
    this.socket = this.connect();
    this.client = this.createClient();
  }

  /**
   * Makes one call. A timeout or a lost connection results in an error whose
   * `ran` is `Unknown`, because the peer may have executed the call.
   */
  async call<T>(
    invoke: (client: TRPCClient<R>, signal: AbortSignal) => Promise<T>,
    timeoutMs = this.timeoutMs,
  ): Promise<Result<T>> {
    const {socket, watch} = this;
    const mark = watch.mark();
    const signal = AbortSignal.timeout(Math.ceil(timeoutMs));
    try {
      return succeed(await invoke(this.client, signal));
    } catch (error) {
      const vmuxError = toVmuxError(error, signal, this.address);
      // A busy host would only have more work with a new connection.
      if (vmuxError.code === ErrorCodes.Timeout && !watch.isAlive(mark))
        this.replaceSocket(socket);
      return fail(vmuxError);
    }
  }

  /** Closes the connection; calls in flight fail. */
  close(): void {
    void this.socket.close();
    this.watch.endHandshake();
  }

  /**
   * Replaces the connection after a call timed out on it, because it may never
   * deliver a response again.
   */
  private replaceSocket(staleSocket: ReturnType<typeof createWSClient>): void {
    if (this.socket !== staleSocket) return;
    void staleSocket.close();
    this.watch.endHandshake();
    this.socket = this.connect();
    this.client = this.createClient();
  }

  private connect(): ReturnType<typeof createWSClient> {
    const {host, port} = this.address;
    const watch = new ConnectionWatch();
    this.watch = watch;
    class WatchedSocket extends WebSocket {
      constructor(url: string) {
        super(url, {createConnection: () => watch.connect({host, port})});
      }
    }
    return createWSClient({
      url: `ws://${host}:${port}${RPC_PATH}${this.query}`,
      WebSocket: WatchedSocket as unknown as typeof globalThis.WebSocket,
      retryDelayMs: attempt =>
        Math.min(
          INITIAL_RECONNECT_DELAY_MS * 2 ** attempt,
          MAX_RECONNECT_DELAY_MS,
        ),
      keepAlive: {
        enabled: true,
        intervalMs: PING_INTERVAL_MS,
        pongTimeoutMs: PONG_TIMEOUT_MS,
      },
    });
  }

  private createClient(): TRPCClient<R> {
    return createTRPCClient<R>({
      links: [wsLink({client: this.socket} as Parameters<typeof wsLink<R>>[0])],
    });
  }
}

function toVmuxError(
  error: unknown,
  signal: AbortSignal,
  address: Address,
): VmuxError {
  const where = `${address.host}:${address.port}`;
  if (error instanceof TRPCClientError) {
    const body = (error.data as {vmux?: VmuxErrorBody} | undefined)?.vmux;
    if (body) return VmuxError.fromBody(body);
  }
  const ran = RunState.Unknown;
  if (signal.aborted) {
    const message = `${where} did not answer in time`;
    return new VmuxError(ErrorCodes.Timeout, {message, ran});
  }
  const reason = error instanceof Error ? error.message : String(error);
  const message = `call to ${where} failed: ${reason}`;
  return new VmuxError(ErrorCodes.TransportFailed, {message, ran});
}
