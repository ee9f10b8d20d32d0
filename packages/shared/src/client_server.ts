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
  /** Bytes that had been read when the last response was handed over. */
  bytesRead: number;
  /** When the last response was handed over. */
  respondedMs: number;
  /** Response that says that the connection closes, as the server drains. */
  lastResponse?: ServerResponse;
  /** Why the connection ends, once that is known. */
  endReason?: UnansweredReason;
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
    options: ServerOptions,
    listener: RequestListener,
    private readonly onUnanswered: (
      unanswered: UnansweredRequest,
    ) => void = () => undefined,
  ) {
    super(options, (req, res) => {
      if (this.track(req.socket, res)) listener(req, res);
    });
    this.on('connection', socket => this.add(socket));
  }

  /** Number of connections accepted since the start. */
  get acceptedCount(): number {
    return this.accepted;
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
    for (const state of this.states.values()) {
      const last = [...state.pendingResponses.keys()].at(-1);
      if (last) announceClose(state, last);
    }
  }

  /**
   * Closes the connections on which no request is in progress, also those that
   * had none yet: a request that arrives later is not read. While the server
   * drains, spares those whose last response was handed over a moment ago and did
   * not say that the connection closes. Also called by `close()`.
   */
  override closeIdleConnections(): void {
    const nowMs = monotonicMs();
    for (const [socket, state] of this.states) {
      const {pendingResponses, bytesRead, respondedMs} = state;
      // Bytes that were read since then belong to another request.
      const isIdle =
        pendingResponses.size === 0 && socket.bytesRead === bytesRead;
      const mayGetRequest =
        this.isDraining && nowMs - respondedMs < CLOSE_DELAY_MS;
      if (isIdle && !mayGetRequest) socket.destroy();
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

  /**
   * Tracks a response. Returns whether to handle the request: not if the client
   * has been told before that the connection closes (RFC 9112, section 9.6).
   */
  private track(socket: Socket, res: ServerResponse): boolean {
    const state = this.states.get(socket);
    if (!state) return false;
    state.pendingResponses.set(res, monotonicMs());
    res.once('close', () => {
      this.settle(state, res);
      state.bytesRead = socket.bytesRead;
      state.respondedMs = monotonicMs();
    });
    if (state.lastResponse?.headersSent) return false;
    if (this.isDraining) announceClose(state, res);
    return true;
  }

  private add(socket: Socket): void {
    const state: ConnectionState = {
      pendingResponses: new Map(),
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
    this.onUnanswered({
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
