/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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
 * Leaves out the headers that concern one connection, those that `Connection`
 * names and the message's framing. Takes and returns names and values in turn.
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
