import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {OutputFormat} from '../output_format.js';
import {printRows} from '../print_rows.js';
import {reportError} from '../report_error.js';
import {toDeclarationRow} from '../to_declaration_row.js';
import {stringify} from 'yaml';

/** Shows the declarations in force, or one list of them. */
export async function getCommand(
  {session, output}: CommandContext,
  listName?: string,
): Promise<ExitCode> {
  const current = await session.control.callLeader((api, signal) =>
    api.declarations.current.query(undefined, {signal}),
  );
  if (!current.ok) return reportError(current.error);
  const {document, version} = current.value;
  if (!listName) {
    const text =
      output === OutputFormat.Json
        ? `${JSON.stringify({version, document}, undefined, 2)}\n`
        : `# version ${version}\n${stringify(document)}`;
    process.stdout.write(text);
    return ExitCode.Ok;
  }
  const items = (document as Record<string, object[]>)[listName];
  if (!items) {
    const listNames = Object.keys(document).join(', ');
    process.stderr.write(`No list "${listName}"; there are: ${listNames}\n`);
    return ExitCode.BadInput;
  }
  printRows(items.map(toDeclarationRow), output);
  return ExitCode.Ok;
}
