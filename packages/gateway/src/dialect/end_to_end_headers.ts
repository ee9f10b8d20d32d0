import {RelayHeader} from '../relay/relay_header.js';

/**
 * Headers that apply to a single connection (RFC 9110, section 7.6.1), and those
 * between entry hosts.
 */
const HOP_BY_HOP = new Set<string>([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  RelayHeader.Request,
  RelayHeader.Outcome,
  RelayHeader.LostService,
  RelayHeader.Referral,
]);

/**
 * Removes the hop-by-hop headers: those of the list above, which include the
 * message's framing, and those that `Connection` names. Takes and returns
 * alternating names and values.
 */
export function endToEndHeaders(headers: readonly string[]): string[] {
  const dropped = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== 'connection') continue;
    for (const name of headers[index + 1]!.split(',')) {
      dropped.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    if (HOP_BY_HOP.has(name) || dropped.has(name)) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
