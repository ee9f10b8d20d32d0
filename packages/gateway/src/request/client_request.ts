import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RouteSpec} from '../config/route_spec.js';
import type {ServiceSpec} from '../config/service_spec.js';
import type {RequestMetadata} from '../dialect/request_metadata.js';

/** A request of a client that has been read and matched. */
export interface ClientRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly route: RouteSpec;
  readonly service: ServiceSpec;
  /** Name of the client's workspace, unless the route needs no key. */
  readonly workspace?: string;
  readonly priority: number;
  readonly body: Buffer;
  /** Version of the configuration that it was matched with. */
  readonly configVersion: number;
  /** When its head was read, on the monotonic clock. */
  readonly startedMs: number;
  /** When its answer is due, on the monotonic clock. */
  readonly deadlineMs: number;
  /** Aborts when the client leaves or the deadline passes. */
  readonly signal: AbortSignal;
}
