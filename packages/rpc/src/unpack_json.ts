import {inflateRawSync} from 'node:zlib';
import {
  ErrorCodes,
  fail,
  RunState,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {MAX_MESSAGE_BYTES} from './max_message_bytes.js';

/**
 * Returns the value in a `Packed` message of a peer. Fails with
 * `TransportFailed` if it is damaged or larger than a message may be.
 */
export function unpackJson<T>(packed: string): Result<T> {
  try {
    const bytes = inflateRawSync(Buffer.from(packed, 'base64'), {
      maxOutputLength: MAX_MESSAGE_BYTES,
    });
    return succeed(JSON.parse(bytes.toString('utf8')) as T);
  } catch (error) {
    const message = `damaged message: ${(error as Error).message}`;
    const ran = RunState.Unknown;
    return fail(new VmuxError(ErrorCodes.TransportFailed, {message, ran}));
  }
}
