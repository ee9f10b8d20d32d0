import type {Address} from './address.js';

/** Writes an address as `HOST:PORT`. */
export function formatAddress({host, port}: Address): string {
  return `${host}:${port}`;
}
