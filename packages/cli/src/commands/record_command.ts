import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';

const MAX_EXPORTED_ENTRIES_PER_HOST = 10_000;

/** Checks every chain of the record and names what is wrong. */
export async function verifyRecordCommand({
  session,
}: CommandContext): Promise<ExitCode> {
  const {
    chains,
    entries,
    corruptions: corruptions,
    missingHosts: missingHosts,
  } = await session.verifyRecord();
  for (const {chain, sequence, reason} of corruptions) {
    process.stdout.write(`${chain} entry ${sequence}: ${reason}\n`);
  }
  for (const {host, port} of missingHosts) {
    process.stdout.write(`${host}:${port}: did not answer\n`);
  }
  process.stdout.write(
    `${entries} entries in ${chains} chains, ${corruptions.length} faults\n`,
  );
  if (corruptions.length > 0) return ExitCode.RecordFaulty;
  return missingHosts.length > 0 ? ExitCode.Failed : ExitCode.Ok;
}

/** Writes the record as JSON lines. */
export async function exportRecordCommand({
  session,
}: CommandContext): Promise<ExitCode> {
  const {entries, missingHosts: missingHosts} = await session.collectRecord({
    limit: MAX_EXPORTED_ENTRIES_PER_HOST,
  });
  for (const entry of entries) {
    process.stdout.write(`${JSON.stringify(entry)}\n`);
  }
  return missingHosts.length > 0 ? ExitCode.Failed : ExitCode.Ok;
}
