import {RelayHeader} from './relay_header.js';

/**
 * Returns the headers of a refusal by a host that does not reach the service
 * either. `referral` is the id of a host by way of which it was reached.
 */
export function relayRefusalHeaders(
  referral: string | undefined,
): Record<string, string> {
  return {
    [RelayHeader.LostService]: '1',
    ...(referral !== undefined && {
      [RelayHeader.Referral]: encodeURIComponent(referral),
    }),
  };
}
