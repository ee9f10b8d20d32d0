import type {Socket} from 'node:net';

/**
 * Lets the requests of a connection take turns. A client may send another one
 * before it has the response, and that response may close the connection: the
 * later request must not have been passed on by then.
 */
export class ConnectionTurns {
  private readonly lastResponses = new WeakMap<Socket, Promise<void>>();

  /**
   * Waits for the responses to earlier requests of the connection; `closed`
   * resolves at the end of this one's. Resolves to false if the connection is
   * closed then.
   */
  async take(socket: Socket, closed: Promise<void>): Promise<boolean> {
    const previous = this.lastResponses.get(socket);
    this.lastResponses.set(socket, closed);
    if (previous) await previous;
    return !socket.destroyed && socket.writable;
  }
}
