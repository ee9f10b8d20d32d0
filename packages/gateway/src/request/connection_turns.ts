import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {responseClosed} from './response_closed.js';

/**
 * Lets the requests of a connection take turns. A client may send another one
 * before it has the response, and that response may close the connection: the
 * later request must not have been passed on by then.
 */
export class ConnectionTurns {
  private readonly lastResponses = new WeakMap<Socket, Promise<void>>();

  /**
   * Waits for the responses to earlier requests of the connection. Resolves to
   * false if the connection is closed then.
   */
  async take(socket: Socket, res: ServerResponse): Promise<boolean> {
    const previous = this.lastResponses.get(socket);
    this.lastResponses.set(socket, responseClosed(res));
    if (previous) await previous;
    return !socket.destroyed && socket.writable;
  }
}
