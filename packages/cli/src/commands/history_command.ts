import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows} from '../print_rows.js';
import {reportError} from '../report_error.js';
import {applyDocument} from './apply_command.js';

/** Lists recent versions of the declarations. */
export async function historyCommand({
  session,
  output,
}: CommandContext): Promise<ExitCode> {
  const history = await session.control.callLeader((api, signal) =>
    api.declarations.history.query(undefined, {signal}),
  );
  if (!history.ok) return reportError(history.error);
  const rows = history.value.map(({version, operator, acceptedAtMs}) => ({
    version,
    operator,
    accepted: new Date(acceptedAtMs).toISOString(),
  }));
  printRows(rows, output);
  return ExitCode.Ok;
}

/** Puts an earlier document in force again, as a new version. */
export async function rollbackCommand(
  ctx: CommandContext,
  version: number,
): Promise<ExitCode> {
  const history = await ctx.session.control.callLeader((api, signal) =>
    api.declarations.history.query(undefined, {signal}),
  );
  if (!history.ok) return reportError(history.error);
  const earlier = history.value.find(item => item.version === version);
  if (!earlier) {
    process.stderr.write(`Version ${version} is not in the history.\n`);
    return ExitCode.NotFound;
  }
  return applyDocument(ctx, earlier.document, {});
}
