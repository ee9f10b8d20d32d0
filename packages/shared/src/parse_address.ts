import type {Address} from './address.js';

/** Parses `HOST:PORT`. An invalid port becomes NaN, which no schema accepts. */
export function parseAddress(text: string): Address {
  const separatorIndex = text.lastIndexOf(':');
  return {
    host: text.slice(0, separatorIndex),
    port: Number(text.slice(separatorIndex + 1) || NaN),
  };
}
