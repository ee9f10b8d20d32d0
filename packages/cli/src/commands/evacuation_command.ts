import {EvacuationAction, EvacuationVerdict} from '@vanillamux/control';
import {emptiedDomainSchema} from '@vanillamux/protocol';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {reportError} from '../report_error.js';

/** Tries of an order while other operators change the emptied domains. */
const MAX_TRIES = 3;

/** Empties a failure domain, or takes it back; repeating it is safe. */
export async function evacuationCommand(
  {session}: CommandContext,
  name: string,
  action: EvacuationAction,
): Promise<ExitCode> {
  const parsed = emptiedDomainSchema.safeParse(name);
  if (!parsed.success) {
    process.stderr.write(`domain: ${parsed.error.issues[0]!.message}\n`);
    return ExitCode.BadInput;
  }
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const known = await session.control.callLeader((api, signal) =>
      api.evacuation.read.query(undefined, {signal}),
    );
    if (!known.ok) return reportError(known.error);
    const order = {
      failureDomain: parsed.data,
      action,
      expectedRevision: known.value.revision,
    };
    const answer = await session.control.callLeader((api, signal) =>
      api.evacuation.order.mutate(order, {signal}),
    );
    if (!answer.ok) return reportError(answer.error);
    if (answer.value.verdict === EvacuationVerdict.Outdated) continue;
    return printVerdict(parsed.data, action, answer.value.verdict);
  }
  process.stderr.write('Other operators change the emptied domains.\n');
  return ExitCode.Conflict;
}

function printVerdict(
  name: string,
  action: EvacuationAction,
  verdict: EvacuationVerdict,
): ExitCode {
  if (verdict === EvacuationVerdict.LimitReached) {
    process.stderr.write('Too many failure domains are emptied.\n');
    return ExitCode.Failed;
  }
  const state =
    action === EvacuationAction.Begin
      ? 'is emptied: nothing more is sent there'
      : 'is in use';
  const already = verdict === EvacuationVerdict.Unchanged ? ', as before' : '';
  process.stdout.write(`Failure domain ${name} ${state}${already}.\n`);
  return ExitCode.Ok;
}
