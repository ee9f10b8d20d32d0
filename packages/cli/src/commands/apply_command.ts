import {randomUUID} from 'node:crypto';
import type {Declarations} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {diffDeclarations} from '../diff_declarations.js';
import {ExitCode} from '../exit_code.js';
import {loadDeclarations} from '../load_declarations.js';
import {reportError} from '../report_error.js';

/** Options of `apply`. */
export interface ApplyOptions {
  /** Version that the change is based on; the current one by default. */
  readonly expect?: number;
  /** Command id of an earlier call whose response was lost. */
  readonly commandId?: string;
}

/** Applies declarations if the version in force is still the expected one. */
export async function applyCommand(
  ctx: CommandContext,
  path: string,
  options: ApplyOptions,
): Promise<ExitCode> {
  const loaded = await loadDeclarations(path);
  if (!loaded.ok) {
    process.stderr.write(`${loaded.error.message}\n`);
    return ExitCode.BadInput;
  }
  return applyDocument(ctx, loaded.value, options);
}

/** Applies a document if the version in force is still the expected one. */
export async function applyDocument(
  {session}: CommandContext,
  document: Declarations,
  options: ApplyOptions,
): Promise<ExitCode> {
  const current = await session.control.callLeader((api, signal) =>
    api.declarations.current.query(undefined, {signal}),
  );
  if (!current.ok) return reportError(current.error);
  const commandId = options.commandId ?? randomUUID();
  const expectedVersion = options.expect ?? current.value.version;
  const result = await session.control.callLeader((api, signal) =>
    api.declarations.declare.mutate(
      {
        commandId,
        expectedVersion,
        document,
        operator: session.settings.operator,
      },
      {signal},
    ),
  );
  if (!result.ok) {
    process.stderr.write(
      `The outcome is not known. Repeat with --command-id ${commandId}\n`,
    );
    return reportError(result.error);
  }
  const {accepted, version} = result.value;
  if (accepted) {
    process.stdout.write(`Accepted as version ${version}.\n`);
    return ExitCode.Ok;
  }
  process.stderr.write(
    `Conflict: expected version ${expectedVersion}, but version ${version} is in force.\n`,
  );
  process.stderr.write(
    diffDeclarations(
      current.value.document,
      document,
      `version ${current.value.version}`,
      'yours',
    ),
  );
  return ExitCode.Conflict;
}
