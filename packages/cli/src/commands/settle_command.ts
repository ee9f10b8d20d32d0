import type {SettleOutcome} from '@vanillamux/control';
import {ReservationState} from '@vanillamux/control';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows} from '../print_rows.js';
import {reportError} from '../report_error.js';

/** Lists at-most-once requests, those with an unknown outcome by default. */
export async function listReservationsCommand(
  {session, output}: CommandContext,
  includesSettled: boolean,
): Promise<ExitCode> {
  const reservations = await session.control.callLeader((api, signal) =>
    api.register.list.query(undefined, {signal}),
  );
  if (!reservations.ok) return reportError(reservations.error);
  const rows = reservations.value
    .filter(({state}) => includesSettled || state === ReservationState.Unknown)
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
  const reservations = await session.control.callLeader((api, signal) =>
    api.register.list.query(undefined, {signal}),
  );
  if (!reservations.ok) return reportError(reservations.error);
  const reservation = reservations.value.find(
    item => item.requestId === requestId,
  );
  if (!reservation) {
    process.stderr.write(`The register has no request ${requestId}.\n`);
    return ExitCode.NotFound;
  }
  if (reservation.state !== ReservationState.Unknown) {
    process.stderr.write(`Request ${requestId} is ${reservation.state}.\n`);
    return ExitCode.Conflict;
  }
  const {workspace, service, key} = reservation;
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
