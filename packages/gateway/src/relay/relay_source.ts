import type {IncomingHttpHeaders} from 'node:http';
import {z} from 'zod';
import {RelayHeader} from './relay_header.js';

const MAX_ID_LENGTH = 128;

const relaySourceSchema = z.object({
  /** Id of the entry host that relays the request. */
  from: z.string().min(1).max(MAX_ID_LENGTH),
  /** Version of the configuration that it has matched the request with. */
  configVersion: z.number().int().min(0),
});

/** The entry host that relays a request. */
export type RelaySource = z.infer<typeof relaySourceSchema>;

/** Encodes the source for the header of a relayed request. */
export function formatRelaySource(source: RelaySource): string {
  return encodeURIComponent(JSON.stringify(source));
}

/** Reads the source from headers; `undefined` if there is no valid one. */
export function parseRelaySource(
  headers: IncomingHttpHeaders,
): RelaySource | undefined {
  try {
    const text = decodeURIComponent(String(headers[RelayHeader.Request]));
    return relaySourceSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // Not a value that `formatRelaySource` has returned.
    return undefined;
  }
}
