import type {CommandContext} from '../command_context.js';
import {diffDeclarations} from '../diff_declarations.js';
import {ExitCode} from '../exit_code.js';
import {loadDeclarations} from '../load_declarations.js';
import {reportError} from '../report_error.js';

/** Prints the changes that `apply` would make, as a unified diff. */
export async function planCommand(
  {session}: CommandContext,
  path: string,
): Promise<ExitCode> {
  const loaded = await loadDeclarations(path);
  if (!loaded.ok) {
    process.stderr.write(`${loaded.error.message}\n`);
    return ExitCode.BadInput;
  }
  const current = await session.control.callLeader((api, signal) =>
    api.declarations.current.query(undefined, {signal}),
  );
  if (!current.ok) return reportError(current.error);
  const {version, document} = current.value;
  const diff = diffDeclarations(
    document,
    loaded.value,
    `version ${version}`,
    path,
  );
  process.stdout.write(diff || `No change against version ${version}.\n`);
  if (diff) {
    process.stdout.write(
      `Apply with: vmux apply -f ${path} --expect ${version}\n`,
    );
  }
  return ExitCode.Ok;
}
