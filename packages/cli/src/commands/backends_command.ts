import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows} from '../print_rows.js';

/** Lists the backend servers that the entry hosts know, sorted by id. */
export async function backendsCommand({
  session,
  output,
}: CommandContext): Promise<ExitCode> {
  const backends = await session.collectBackends();
  const rows = backends
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
