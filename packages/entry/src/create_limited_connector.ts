import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {buildConnector, type DiagnosticsChannel} from 'undici';
import {FramingLimit} from './framing_limit.js';

const limitsBySocket = new WeakMap<Socket, FramingLimit>();
const limitsByRequest = new WeakMap<object, FramingLimit>();

// The undici client tells only here which request is sent on which connection.
subscribe('undici:client:sendHeaders', message => {
  const {request, socket} =
    message as DiagnosticsChannel.ClientSendHeadersMessage;
  const limit = limitsBySocket.get(socket);
  if (!limit) return;
  limit.startResponse();
  limitsByRequest.set(request, limit);
});

subscribe('undici:request:bodyChunkReceived', message => {
  const {request, chunk} =
    message as DiagnosticsChannel.RequestBodyChunkReceivedMessage;
  limitsByRequest.get(request)?.addBodyBytes(chunk.length);
});

/**
 * Creates a connector for undici clients whose connections close when a
 * response exceeds its `FramingLimit`.
 */
export function createLimitedConnector(
  timeoutMs: number,
): buildConnector.connector {
  const connect = buildConnector({timeout: timeoutMs});
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) limitsBySocket.set(socket, new FramingLimit(socket));
      callback(...result);
    });
}
