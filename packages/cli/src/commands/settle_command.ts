import type {SettleOutcome} from '@vanillamux/control';
import {ReservationState} from '@vanillamux/control';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows} from '../print_rows.js';
import {reportError} from '../report_error.js';

/** Lists at-most-once requests, those with an unknown outcome by default. */
export async function registerCommand(
  {session, output}: CommandContext,
  all: boolean,
): Promise<ExitCode> {
  const list = await session.control.callLeader((api, signal) =>
    api.register.list.query(undefined, {signal}),
  );
  if (!list.ok) return reportError(list.error);
  const rows = list.value
    .filter(({state}) => all || state === ReservationState.Unknown)
    .map(({workspace, service, key, state, requestId, reservedAtMs}) => ({
      workspace,
      service,
      key,
      state,
      request: requestId,
      reserved: new Date(reservedAtMs).toISOString(),
    }));
  printRows(rows, output);
  return ExitCode.Ok;
}

/** Settles an unknown outcome after the operator has found it out. */
export async function settleCommand(
  {session}: CommandContext,
  requestId: string,
  outcome: SettleOutcome,
): Promise<ExitCode> {
  const list = await session.control.callLeader((api, signal) =>
    api.register.list.query(undefined, {signal}),
  );
  if (!list.ok) return reportError(list.error);
  const held = list.value.find(item => item.requestId === requestId);
  if (!held) {
    process.stderr.write(`The register has no request ${requestId}.\n`);
    return ExitCode.NotFound;
  }
  if (held.state !== ReservationState.Unknown) {
    process.stderr.write(`Request ${requestId} is ${held.state}.\n`);
    return ExitCode.Conflict;
  }
  const {workspace, service, key} = held;
  const {operator} = session.settings;
  const result = await session.control.callLeader((api, signal) =>
    api.register.settle.mutate(
      {workspace, service, key, requestId, outcome, operator},
      {signal},
    ),
  );
  if (!result.ok) return reportError(result.error);
  process.stdout.write(`Settled ${requestId} as ${outcome}.\n`);
  return ExitCode.Ok;
}
