/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
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
]);

/**
 * Removes the hop-by-hop headers: those of the list above, which include the
 * message's framing, and those that `Connection` names. Takes and returns
 * alternating names and values.
 */
export function endToEndHeaders(headers: readonly string[]): string[] {
  const dropped = new Set<string>();
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]!.toLowerCase() !== 'connection') continue;
    for (const name of headers[at + 1]!.split(',')) {
      dropped.add(name.trim().toLowerCase());
    }
  }
  const kept: string[] = [];
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase();
    if (HOP_BY_HOP.has(name) || dropped.has(name)) continue;
    kept.push(headers[at]!, headers[at + 1]!);
  }
  return kept;
}
