import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from '@vanillamux/shared';
import type {GatewayConfig} from '../config/gateway_config.js';
import type {AnswerFacts} from './answer_facts.js';
import type {AttemptFacts} from './attempt_facts.js';
import type {MemoryOrder} from './memory_order.js';
import type {OrderMessage} from './order_message.js';
import type {RequestFacts} from './request_facts.js';

/**
 * Translates between the headers and documents of a deployment and the types
 * of the gateway. It decides nothing and keeps no state.
 */
export abstract class Dialect {
  /** Decodes a published configuration, or says which field is wrong. */
  abstract readConfig(text: string): Result<GatewayConfig>;
  abstract readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /**
   * The headers for a backend server, names and values in turn, made from the
   * end-to-end headers of the client.
   */
  abstract writeRequest(
    headers: readonly string[],
    attempt: AttemptFacts,
  ): string[];
  abstract readAnswer(
    status: number,
    headers: IncomingHttpHeaders,
    attemptId: string,
  ): AnswerFacts;
  /** Writes an order that an engine keeps memory, or gives it back. */
  abstract writeMemoryOrder(order: MemoryOrder): OrderMessage;
  /** Headers that identify the request in an answer made by the gateway. */
  abstract writeAnswer(attemptId: string): Record<string, string>;
}
