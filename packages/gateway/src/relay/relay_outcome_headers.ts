import {RelayHeader} from './relay_header.js';
import type {RelayOutcome} from './relay_outcome.js';

/** Returns the header of a response that this host makes for a relaying one. */
export function relayOutcomeHeaders(
  outcome: RelayOutcome,
): Record<string, string> {
  return {[RelayHeader.Outcome]: outcome};
}
