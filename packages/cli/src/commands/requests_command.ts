import type {RecordEntry} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import type {RecordQuery} from '../operator_session.js';
import {printRows} from '../print_rows.js';

/** Lists entries of the record. */
export async function listRequestsCommand(
  {session, output}: CommandContext,
  query: RecordQuery,
): Promise<ExitCode> {
  const {entries, missingHosts: missingHosts} =
    await session.collectRecord(query);
  printRows(entries.map(toRecordRow), output);
  for (const {host, port} of missingHosts) {
    process.stderr.write(
      `${host}:${port} did not answer; its part is missing\n`,
    );
  }
  return missingHosts.length > 0 ? ExitCode.Failed : ExitCode.Ok;
}

function toRecordRow(entry: RecordEntry): Record<string, string | number> {
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
