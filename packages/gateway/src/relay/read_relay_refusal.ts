import type {IncomingHttpHeaders} from 'node:http';
import {RelayHeader} from './relay_header.js';

/** What a refusal of a relayed request says beyond its outcome. */
export interface ReadRelayRefusal {
  /** Whether the refusing host does not reach the service either. */
  readonly hasLostService: boolean;
  /** Id of an entry host that may reach it. */
  readonly referral?: string;
}

/** Reads a refusal; hosts of an older version say nothing. */
export function readRelayRefusal(
  headers: IncomingHttpHeaders,
): ReadRelayRefusal {
  const hasLostService = headers[RelayHeader.LostService] !== undefined;
  const text = headers[RelayHeader.Referral];
  if (typeof text !== 'string') return {hasLostService};
  try {
    return {hasLostService, referral: decodeURIComponent(text)};
  } catch {
    // Not a value that `relayRefusalHeaders` has returned.
    return {hasLostService};
  }
}
