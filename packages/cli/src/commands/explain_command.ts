import type {RecordEntry} from '@vanillamux/protocol';
import {RecordKind} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {OutputFormat} from '../output_format.js';

/** Tells what happened to a request, and why, from the record. */
export async function explainCommand(
  {session, output}: CommandContext,
  requestId: string,
): Promise<ExitCode> {
  const {entries} = await session.collectRecord({requestId});
  if (entries.length === 0) {
    process.stderr.write(`The record has no request ${requestId}.\n`);
    return ExitCode.NotFound;
  }
  if (output === OutputFormat.Json) {
    process.stdout.write(`${JSON.stringify(entries, undefined, 2)}\n`);
  } else {
    for (const entry of entries) {
      process.stdout.write(`${describeEntry(entry).join('\n')}\n`);
    }
  }
  return ExitCode.Ok;
}

function describeEntry(entry: RecordEntry): string[] {
  const recordReference = `  record: ${entry.chain} entry ${entry.sequence}, hash ${entry.hash}`;
  return [formatSummary(entry), ...formatDetails(entry), recordReference];
}

function formatSummary({
  at,
  kind,
  workspace,
  target,
  code,
}: RecordEntry): string {
  const reason = code ? ` (${code})` : '';
  return `${at} ${kind}${reason}: ${target} for workspace ${workspace}`;
}

function formatDetails(entry: RecordEntry): string[] {
  const lines: string[] = [];
  if (entry.kind !== RecordKind.Completed) {
    lines.push(
      `  decided by: rule ${entry.rule}, class ${entry.class}, declarations version ${entry.version}`,
    );
  } else {
    lines.push(
      `  ran: ${entry.ran} on ${entry.backend || 'no backend server'}, ${entry.attempts ?? 0} attempts, ${entry.durationMs} ms`,
    );
    if (entry.firstTokenMs !== undefined) {
      const {answerTokens} = entry;
      const outputLength =
        answerTokens === undefined ? '' : `, ${answerTokens} tokens`;
      lines.push(`  first token after ${entry.firstTokenMs} ms${outputLength}`);
    }
  }
  for (const candidate of entry.candidates ?? []) {
    const {backend, estimateMs, queuedTokens, cachedTokens} = candidate;
    lines.push(
      `  candidate ${backend}: first token in about ${estimateMs} ms, ${queuedTokens} tokens queued, ${cachedTokens} cached`,
    );
  }
  if (entry.idempotencyKey) {
    lines.push(`  idempotency key: ${entry.idempotencyKey}`);
  }
  return lines;
}
