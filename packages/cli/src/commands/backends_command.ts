import type {Announcement} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows} from '../print_rows.js';

/** Lists the backend servers that the entry hosts know. */
export async function backendsCommand({
  session,
  output,
}: CommandContext): Promise<ExitCode> {
  const answers = await session.callEntries<Announcement[]>((api, signal) =>
    api.backends.query(undefined, {signal}),
  );
  const known = new Map<string, Announcement>();
  for (const {result} of answers) {
    if (!result.ok) continue;
    for (const backend of result.value) known.set(backend.id, backend);
  }
  const rows = [...known.values()]
    .sort((a, b) => (a.id < b.id ? -1 : 1))
    .map(backend => ({
      id: backend.id,
      kind: backend.service ?? backend.kind,
      'failure domain': backend.failureDomain,
      state: backend.state,
      models: backend.models.join(' '),
      'queued tokens': Math.round(backend.load.queuedPrefillTokens),
      'free tokens': Math.round(backend.load.freeTokens),
      streams: backend.load.runningStreams,
    }));
  printRows(rows, output);
  return ExitCode.Ok;
}
