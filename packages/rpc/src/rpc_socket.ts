import {WebSocket} from 'ws';

type Data = Parameters<WebSocket['send']>[0];
type Options = Parameters<WebSocket['send']>[1];
type Callback = (error?: Error) => void;

/** Connection of a server. It sends bytes as text that isn't compressed. */
export class RpcSocket extends WebSocket {
  override send(
    data: Data,
    options?: Options | Callback,
    callback?: Callback,
  ): void {
    const isPacked = data instanceof Uint8Array;
    const given = typeof options === 'object' ? options : {};
    const done = typeof options === 'function' ? options : callback;
    const packedOptions = {...given, binary: false, compress: false};
    super.send(data, isPacked ? packedOptions : given, done);
  }
}
