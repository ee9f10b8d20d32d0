import type {Address} from './address.js';

/** Parses `HOST:PORT`. An unreadable port gives NaN, which no schema accepts. */
export function parseAddress(text: string): Address {
  const separatorIndex = text.lastIndexOf(':');
  return {
    host: text.slice(0, separatorIndex),
    port: Number(text.slice(separatorIndex + 1) || NaN),
  };
}
