import type {RecordEntry} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import type {RecordQuery} from '../operator_session.js';
import {printRows} from '../print_rows.js';

/** Lists entries of the record. */
export async function requestsCommand(
  {session, output}: CommandContext,
  query: RecordQuery,
): Promise<ExitCode> {
  const {entries, missing} = await session.collectRecord(query);
  printRows(entries.map(toRow), output);
  for (const {host, port} of missing) {
    process.stderr.write(
      `${host}:${port} did not answer; its part is missing\n`,
    );
  }
  return missing.length > 0 ? ExitCode.Failed : ExitCode.Ok;
}

function toRow(entry: RecordEntry): Record<string, string | number> {
  return {
    at: entry.at,
    kind: entry.kind,
    request: entry.requestId ?? '',
    workspace: entry.workspace ?? '',
    class: entry.class ?? '',
    target: entry.target ?? '',
    tokens: entry.promptTokens ?? '',
    backend: entry.backend ?? '',
    'first token ms': entry.firstTokenMs ?? '',
    ran: entry.ran ?? '',
    code: entry.code ?? '',
  };
}
