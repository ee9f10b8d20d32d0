import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from '@vanillamux/shared';
import type {GatewayConfig} from '../config/gateway_config.js';
import type {ResponseMetadata} from './response_metadata.js';
import type {AttemptMetadata} from './attempt_metadata.js';
import type {IdentityCall} from './identity_call.js';
import type {ReportedIdentity} from './reported_identity.js';
import type {RelayMetadata} from './relay_metadata.js';
import type {ReservationCommand} from './reservation_command.js';
import type {ReservationMessage} from './reservation_message.js';
import type {RequestMetadata} from './request_metadata.js';

/**
 * Translates between the headers and configuration documents of a deployment
 * and the types of the gateway. A dialect makes no decisions and has no state.
 */
export abstract class Dialect {
  /** Entries that the helpers of an `AttemptMetadata` may have. */
  abstract readonly maxHelperEntries: number;
  /** Decodes a published configuration; an error names the invalid field. */
  abstract readConfig(text: string): Result<GatewayConfig>;
  abstract readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /**
   * Returns the headers for a backend server, made from the end-to-end headers
   * of the client. Both are alternating names and values.
   */
  abstract writeRequest(
    headers: readonly string[],
    attempt: AttemptMetadata,
  ): string[];
  /**
   * Returns the headers for another entry host, which handles the request as if
   * its client had sent it there. Takes and returns alternating names and
   * values.
   */
  abstract writeRelayedRequest(
    headers: readonly string[],
    relay: RelayMetadata,
  ): string[];
  abstract readResponse(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): ResponseMetadata;
  /** Encodes a command that reserves KV memory on an engine, or releases it. */
  abstract writeReservationCommand(
    command: ReservationCommand,
  ): ReservationMessage;
  /** Encodes a call that asks a backend server which process it is. */
  abstract writeIdentityCall(backendId: string): IdentityCall;
  /** Reads the response to an identity call; its body may be anything. */
  abstract readIdentity(status: number, body: Buffer): ReportedIdentity;
  /**
   * Returns the headers that identify the request in a response that the
   * gateway itself generates.
   */
  abstract writeResponse(requestId: string): Record<string, string>;
}
