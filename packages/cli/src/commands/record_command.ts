import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';

const MAX_EXPORT_ENTRIES = 10_000;

/** Checks every chain of the record and names what is wrong. */
export async function verifyRecordCommand({
  session,
}: CommandContext): Promise<ExitCode> {
  const {chains, entries, faults, missing} = await session.verifyRecord();
  for (const {chain, sequence, reason} of faults) {
    process.stdout.write(`${chain} entry ${sequence}: ${reason}\n`);
  }
  for (const {host, port} of missing) {
    process.stdout.write(`${host}:${port}: did not answer\n`);
  }
  process.stdout.write(
    `${entries} entries in ${chains} chains, ${faults.length} faults\n`,
  );
  if (faults.length > 0) return ExitCode.RecordFaulty;
  return missing.length > 0 ? ExitCode.Failed : ExitCode.Ok;
}

/** Writes the record as JSON lines. */
export async function exportRecordCommand({
  session,
}: CommandContext): Promise<ExitCode> {
  const {entries, missing} = await session.collectRecord({
    limit: MAX_EXPORT_ENTRIES,
  });
  for (const entry of entries) {
    process.stdout.write(`${JSON.stringify(entry)}\n`);
  }
  return missing.length > 0 ? ExitCode.Failed : ExitCode.Ok;
}
