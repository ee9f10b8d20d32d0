import type {IncomingHttpHeaders} from 'node:http';
import type {Result} from '@vanillamux/shared';
import type {GatewayConfig} from '../config/gateway_config.js';
import type {AnswerFacts} from './answer_facts.js';
import type {AttemptFacts} from './attempt_facts.js';
import type {MemoryOrder} from './memory_order.js';
import type {OrderMessage} from './order_message.js';
import type {RequestFacts} from './request_facts.js';

/**
 * Translates between the headers and configuration documents of a deployment
 * and the types of the gateway. A dialect makes no decisions and has no state.
 */
export abstract class Dialect {
  /** Decodes a published configuration; an error names the invalid field. */
  abstract readConfig(text: string): Result<GatewayConfig>;
  abstract readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /**
   * Returns the headers for a backend server, made from the end-to-end headers
   * of the client. Both are alternating names and values.
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
  /** Encodes a command that reserves KV memory on an engine, or releases it. */
  abstract writeMemoryOrder(order: MemoryOrder): OrderMessage;
  /**
   * Returns the headers that identify the request in a response that the
   * gateway itself generates.
   */
  abstract writeAnswer(attemptId: string): Record<string, string>;
}
