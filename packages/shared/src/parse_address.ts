import type {Address} from './address.js';

/** Parses `HOST:PORT`. An unreadable port gives NaN, which no schema accepts. */
export function parseAddress(text: string): Address {
  const at = text.lastIndexOf(':');
  return {host: text.slice(0, at), port: Number(text.slice(at + 1) || NaN)};
}
