// Relays the connections to a control host and can reset those of some hosts, as
// a cut does whose `how` is `reset`.
import {connect, createServer} from 'node:net';

const SOURCE = /[?&]from=([^&\s]+)/;

export class Relay {
  connections = new Set();
  /** Decides by the name of the calling host. */
  isCut = () => false;

  static async start(host, port, targetPort) {
    const relay = new Relay();
    relay.server = createServer(socket =>
      relay.accept(socket, host, targetPort),
    );
    await new Promise(resolve => relay.server.listen(port, host, resolve));
    return relay;
  }

  /** Applies a changed `isCut` to every connection. */
  update() {
    for (const {caller, callee, source} of this.connections) {
      if (!this.isCut(source)) continue;
      caller.resetAndDestroy();
      callee.resetAndDestroy();
    }
  }

  accept(caller, host, port) {
    caller.setNoDelay(true);
    caller.on('error', () => caller.destroy());
    caller.once('data', first => {
      const source = SOURCE.exec(first.toString('latin1'))?.[1] ?? '';
      if (this.isCut(source)) return caller.resetAndDestroy();
      const callee = connect(port, host);
      callee.setNoDelay(true);
      const connection = {caller, callee, source};
      this.connections.add(connection);
      callee.on('error', () => callee.destroy());
      callee.write(first);
      caller.on('data', bytes => callee.write(bytes));
      callee.on('data', bytes => caller.write(bytes));
      caller.on('close', () => this.end(connection, callee));
      callee.on('close', () => this.end(connection, caller));
    });
  }

  end(connection, other) {
    this.connections.delete(connection);
    other.destroy();
  }
}
