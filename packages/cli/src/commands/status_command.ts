import type {GroupStatus} from '@vanillamux/control';
import type {EntryStatus} from '@vanillamux/entry';
import type {EvacuationView} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows, type Row} from '../print_rows.js';

/** Lists the control and entry hosts with their state and version in force. */
export async function statusCommand({
  session,
  output,
}: CommandContext): Promise<ExitCode> {
  const control = await session.control.callAll(async (api, signal) => {
    const [group, declarations, emptied] = await Promise.all([
      api.group.status.query(undefined, {signal}),
      api.declarations.wait.query({haveVersion: 0, waitMs: 0}, {signal}),
      // A control host of an earlier build does not know the call.
      api.evacuation.known.query(undefined, {signal}).catch(() => undefined),
    ]);
    return {group, version: declarations.version, emptied};
  });
  const entries = await session.callEntryHosts<EntryStatus>((api, signal) =>
    api.status.query(undefined, {signal}),
  );
  const rows: Row[] = [
    ...control.map(({address, result}) => ({
      host: result.ok
        ? parseHostName(result.value.group.selfId)
        : `${address.host}:${address.port}`,
      kind: 'control',
      state: result.ok ? result.value.group.role : 'unreachable',
      version: result.ok ? result.value.version : '',
      detail: result.ok ? describeControl(result.value) : result.error.message,
    })),
    ...entries.map(({address, result}) => ({
      host: result.ok ? result.value.id : `${address.host}:${address.port}`,
      kind: 'entry',
      state: result.ok ? describeReadiness(result.value) : 'unreachable',
      version: result.ok ? result.value.version : '',
      detail: result.ok
        ? `${result.value.backends} backends, ${result.value.inFlight} in flight, ${result.value.undeliveredRecords} records undelivered`
        : result.error.message,
    })),
  ];
  printRows(rows, output);
  return rows.some(({state}) => state === 'unreachable')
    ? ExitCode.Failed
    : ExitCode.Ok;
}

function parseHostName(memberId: string): string {
  return memberId.split('/')[0] ?? memberId;
}

function describeControl({
  group: {term, appliedIndex},
  emptied,
}: {
  readonly group: GroupStatus;
  readonly emptied?: EvacuationView;
}): string {
  const domains = emptied?.failureDomains.join(' ') ?? '';
  return [
    `term ${term}`,
    `applied ${appliedIndex}`,
    ...(domains === '' ? [] : [`emptied: ${domains}`]),
  ].join(', ');
}

function describeReadiness({isReady, isStale}: EntryStatus): string {
  if (!isReady) return 'not ready';
  return isStale ? 'ready, stale' : 'ready';
}
