import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from '@vanillamux/shared';
import type {GatewayConfig} from '../config/gateway_config.js';
import type {ResponseMetadata} from './response_metadata.js';
import type {AttemptMetadata} from './attempt_metadata.js';
import type {ReservationCommand} from './reservation_command.js';
import type {ReservationMessage} from './reservation_message.js';
import type {RequestMetadata} from './request_metadata.js';

/**
 * Translates between the headers and documents of a deployment and the types
 * of the gateway. It decides nothing and keeps no state.
 */
export abstract class Dialect {
  /** Decodes a published configuration, or says which field is wrong. */
  abstract readConfig(text: string): Result<GatewayConfig>;
  abstract readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * The headers for a backend server, names and values in turn, made from the
   * end-to-end headers of the client.
   */
  abstract writeRequest(
    headers: readonly string[],
    attempt: AttemptMetadata,
  ): string[];
  abstract readResponse(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): ResponseMetadata;
  /** Writes an order that an engine keeps memory, or gives it back. */
  abstract writeReservationCommand(
    command: ReservationCommand,
  ): ReservationMessage;
  /** Headers that identify the request in an answer made by the gateway. */
  abstract writeResponse(requestId: string): Record<string, string>;
}
