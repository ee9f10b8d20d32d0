import {ControlClient} from '@vanillamux/control';
import type {Address} from '@vanillamux/shared';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printRows} from '../print_rows.js';
import {reportError} from '../report_error.js';

/** Lists the members of the control group as the leader sees them. */
export async function listMembersCommand({
  session,
  output,
}: CommandContext): Promise<ExitCode> {
  const status = await session.control.callLeader(async (api, signal) => {
    await api.declarations.current.query(undefined, {signal});
    return api.group.status.query(undefined, {signal});
  });
  if (!status.ok) return reportError(status.error);
  const {members, leaderId} = status.value;
  const rows = members.map(member => ({
    id: member.id,
    'failure domain': member.failureDomain,
    role: member.id === leaderId ? 'leader' : member.role,
    'match index': member.matchIndex ?? '',
    'silent ms': Math.round(member.silentMs ?? 0),
  }));
  printRows(rows, output);
  return ExitCode.Ok;
}

/** Adds a host that runs without a group; it becomes a voter by itself. */
export async function addMemberCommand(
  {session}: CommandContext,
  address: Address,
): Promise<ExitCode> {
  const client = new ControlClient([address]);
  const formation = await client.callAny((api, signal) =>
    api.group.formation.query(undefined, {signal}),
  );
  client.close();
  if (!formation.ok) return reportError(formation.error);
  const {member} = formation.value;
  const result = await session.control.callLeader((api, signal) =>
    api.group.add.mutate(member, {signal}),
  );
  if (!result.ok) return reportError(result.error);
  process.stdout.write(`Adding ${member.id} as learner.\n`);
  return ExitCode.Ok;
}

/** Removes a member. */
export async function removeMemberCommand(
  {session}: CommandContext,
  memberId: string,
): Promise<ExitCode> {
  const result = await session.control.callLeader((api, signal) =>
    api.group.remove.mutate({memberId}, {signal}),
  );
  if (!result.ok) return reportError(result.error);
  process.stdout.write(`Removed ${memberId}.\n`);
  return ExitCode.Ok;
}
