import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Address} from './address.js';
import {ErrorCodes} from './error_codes.js';
import {fail} from './fail.js';
import type {Result} from './result.js';
import {succeed} from './succeed.js';
import {VmuxError} from './vmux_error.js';

/** Binds a server. Resolves to the bound port or to a `PortTaken` error. */
export function listen(
  server: Server,
  address: Address,
): Promise<Result<number>> {
  return new Promise(resolve => {
    const onError = (error: NodeJS.ErrnoException) => {
      const where = `${address.host}:${address.port}`;
      const message =
        error.code === 'EADDRINUSE'
          ? `${where} is already in use; stop the other process or set another port`
          : `cannot listen on ${where}: ${error.message}`;
      resolve(fail(new VmuxError(ErrorCodes.PortTaken, {message})));
    };
    server.once('error', onError);
    server.listen(address.port, address.host, () => {
      server.off('error', onError);
      resolve(succeed((server.address() as AddressInfo).port));
    });
  });
}
