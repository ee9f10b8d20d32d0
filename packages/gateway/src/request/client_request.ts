import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RouteSpec} from '../config/route_spec.js';
import type {ServiceSpec} from '../config/service_spec.js';
import type {RequestMetadata} from '../dialect/request_metadata.js';
import type {RelaySource} from '../relay/relay_source.js';
import type {RequestFingerprint} from './request_fingerprint.js';

/** A client's request that was read and matched with a route. */
export interface ClientRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly route: RouteSpec;
  readonly service: ServiceSpec;
  /** Workspace of the API key; absent if no key was required. */
  readonly workspace?: string;
  /** Regions that it may be served in, as admitted; all if absent. */
  readonly regions?: readonly string[];
  readonly priority: number;
  readonly body: Buffer;
  /** Called to give back bytes once the response was handed over. */
  readonly onRelease: (release: () => void) => void;
  readonly fingerprint: RequestFingerprint;
  /** The entry host that relays the request; absent if the client sent it. */
  readonly relay?: RelaySource;
  /** Version of the configuration that the request was matched with. */
  readonly configVersion: number;
  /** When the request head was read, on the monotonic clock. */
  readonly startedMs: number;
  /** When the response must be complete, on the monotonic clock. */
  readonly deadlineMs: number;
  /** Aborts when the client disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}
