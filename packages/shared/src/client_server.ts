import {
  Server,
  type RequestListener,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {monotonicMs} from './monotonic_ms.js';
import {UnansweredReason} from './unanswered_reason.js';
import type {UnansweredRequest} from './unanswered_request.js';

/**
 * Time in which a client that has got a response may send another request before
 * it learns that the connection closes: a round trip between regions.
 */
const CLOSE_DELAY_MS = 200;

/** State of one connection. */
interface ConnectionState {
  /**
   * Responses that were not handed over to the system yet, and when the headers
   * of their requests were read.
   */
  readonly pendingResponses: Map<ServerResponse, number>;
  readonly acceptedMs: number;
  /**
   * Bytes that had been read when the last request and its response had ended.
   */
  bytesRead: number;
  /** When the last response was handed over. */
  respondedMs: number;
  /** Response that says that the connection closes, as the server drains. */
  lastResponse?: ServerResponse;
  /** Why the connection ends, once that is known. */
  endReason?: UnansweredReason;
}

/** Options of a `ClientServer`. */
export interface ClientServerOptions {
  /** Called with each request that gets no complete response. */
  readonly onUnanswered?: (unanswered: UnansweredRequest) => void;
  /**
   * Whether clients open a connection for each request and close it. The server
   * then closes none before its first request, for `headersTimeout` at most, and
   * none by a response, after which the rest of a body could not arrive. A client
   * can't tell whether a request that crosses the close was read.
   */
  readonly clientsClose?: boolean;
}

/**
 * HTTP server that closes a connection as idle only after its responses were
 * handed over to the system. Node's own server takes a connection for idle once
 * `end()` was called, and drops what a slow client has not taken yet.
 */
export class ClientServer extends Server {
  private readonly states = new Map<Socket, ConnectionState>();
  private accepted = 0;
  private isDraining = false;

  constructor(
    serverOptions: ServerOptions,
    listener: RequestListener,
    private readonly options: ClientServerOptions = {},
  ) {
    super(serverOptions, (req, res) => {
      if (this.track(req.socket, res)) listener(req, res);
    });
    this.on('connection', socket => this.add(socket));
  }

  /** Number of connections accepted since the start. */
  get acceptedCount(): number {
    return this.accepted;
  }

  private get announcesClose(): boolean {
    return this.isDraining && !this.options.clientsClose;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.states.size;
  }

  /**
   * From now on, the last response on each connection says that it closes. Node.js
   * closes it after that response.
   */
  startDraining(): void {
    this.isDraining = true;
    if (!this.announcesClose) return;
    for (const state of this.states.values()) {
      const last = [...state.pendingResponses.keys()].at(-1);
      if (last) announceClose(state, last);
    }
  }

  /**
   * Closes the connections on which no request is in progress, also those that
   * had none yet unless `clientsClose`: a request that arrives later is not read.
   * While the server drains, spares those whose last response was handed over a
   * moment ago and did not say that the connection closes. Also called by
   * `close()`.
   */
  override closeIdleConnections(): void {
    for (const [socket, state] of this.states) {
      if (this.isIdle(socket, state)) socket.destroy();
    }
  }

  /**
   * Cuts the connections with a pending response that `isAffected`, as the grace
   * time of a stop is over. A plain close would end a response without framing as
   * if it were complete.
   */
  resetConnections(isAffected: (res: ServerResponse) => boolean): void {
    for (const [socket, state] of this.states) {
      if (![...state.pendingResponses.keys()].some(isAffected)) continue;
      state.endReason ??= UnansweredReason.Stopped;
      socket.resetAndDestroy();
    }
  }

  private isIdle(
    socket: Socket,
    {pendingResponses, bytesRead, acceptedMs, respondedMs}: ConnectionState,
  ): boolean {
    const nowMs = monotonicMs();
    // Bytes that were read since then belong to another request, or to the body
    // of one that was refused.
    if (pendingResponses.size > 0 || socket.bytesRead !== bytesRead)
      return false;
    if (this.isDraining && nowMs - respondedMs < CLOSE_DELAY_MS) return false;
    const isAwaited = this.options.clientsClose && bytesRead === 0;
    return !isAwaited || nowMs - acceptedMs >= this.headersTimeout;
  }

  /**
   * Tracks a response. Returns whether to handle the request: not if the client
   * has been told before that the connection closes (RFC 9112, section 9.6).
   */
  private track(socket: Socket, res: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state) return false;
    const {req} = res;
    state.pendingResponses.set(res, monotonicMs());
    const recordEnd = (): void => {
      if (req.complete && !state.pendingResponses.has(res))
        state.bytesRead = socket.bytesRead;
    };
    req.once('close', recordEnd);
    res.once('close', () => {
      this.settle(state, res);
      state.respondedMs = monotonicMs();
      recordEnd();
    });
    if (state.lastResponse?.headersSent) return false;
    if (this.announcesClose) announceClose(state, res);
    return true;
  }

  private add(socket: Socket): void {
    const state: ConnectionState = {
      pendingResponses: new Map(),
      acceptedMs: monotonicMs(),
      bytesRead: 0,
      respondedMs: -Infinity,
    };
    this.states.set(socket, state);
    this.accepted++;
    const recordLeft = (): void => {
      state.endReason ??= UnansweredReason.ClientLeft;
    };
    socket.once('end', recordLeft);
    socket.once('error', recordLeft);
    socket.once('close', () => {
      this.states.delete(socket);
      // Node emits no 'close' on a response that waits for an earlier one.
      for (const res of state.pendingResponses.keys()) this.settle(state, res);
    });
  }

  /** Forgets a response, and reports one that is not complete. */
  private settle(state: ConnectionState, res: ServerResponse): void {
    const startedMs = state.pendingResponses.get(res);
    if (startedMs === undefined) return;
    state.pendingResponses.delete(res);
    if (res.writableFinished) return;
    this.options.onUnanswered?.({
      req: res.req,
      reason: state.endReason ?? UnansweredReason.Closed,
      ageMs: monotonicMs() - startedMs,
      hasBegun: res.headersSent,
    });
  }
}

/** Makes the head of `res` say that the connection closes, unless it was sent. */
function announceClose(state: ConnectionState, res: ServerResponse): void {
  if (res.headersSent) return;
  // The response before that one has not been sent, and need not be the last.
  if (state.lastResponse) state.lastResponse.shouldKeepAlive = true;
  state.lastResponse = res;
  res.shouldKeepAlive = false;
}
