import {randomUUID} from 'node:crypto';
import type {OperatorSession} from '@vanillamux/cli';
import {loadDeclarations} from '@vanillamux/cli';
import type {EntryStatus} from '@vanillamux/entry';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {Fleet} from './fleet.js';

const START_TIMEOUT_MS = 30_000;

/** Applies declarations and waits until every entry host serves with them. */
export async function waitUntilServing(
  fleet: Fleet,
  session: OperatorSession,
  declarationsPath: string,
): Promise<Result<number>> {
  const election = await fleet.waitFor(
    'the election of a leader',
    START_TIMEOUT_MS,
    async () => hasLeader(session),
  );
  if (!election.ok) return election;
  const version = await applyDeclarations(session, declarationsPath);
  if (!version.ok) return version;
  const expectedBackends = fleet.engines.length + fleet.serviceHosts.length;
  const serving = await fleet.waitFor(
    'readiness of every entry host',
    START_TIMEOUT_MS,
    async () => {
      const statuses = await session.callEntryHosts<EntryStatus>(
        (api, signal) => api.status.query(undefined, {signal}),
      );
      return statuses.every(
        ({result}) =>
          result.ok &&
          result.value.isReady &&
          result.value.version >= version.value &&
          result.value.backends >= expectedBackends,
      );
    },
  );
  return serving.ok ? version : serving;
}

async function hasLeader(session: OperatorSession): Promise<boolean> {
  const current = await session.control.callLeader((api, signal) =>
    api.declarations.current.query(undefined, {signal}),
  );
  return current.ok;
}

async function applyDeclarations(
  session: OperatorSession,
  declarationsPath: string,
): Promise<Result<number>> {
  const loaded = await loadDeclarations(declarationsPath);
  if (!loaded.ok) {
    const {message} = loaded.error;
    return fail(new VmuxError(ErrorCodes.BadSettings, {message}));
  }
  const current = await session.control.callLeader((api, signal) =>
    api.declarations.current.query(undefined, {signal}),
  );
  if (!current.ok) return current;
  const {version, document} = current.value;
  if (JSON.stringify(document) === JSON.stringify(loaded.value)) {
    return succeed(version);
  }
  const applied = await session.control.callLeader((api, signal) =>
    api.declarations.declare.mutate(
      {
        commandId: randomUUID(),
        expectedVersion: version,
        document: loaded.value,
        operator: session.settings.operator,
      },
      {signal},
    ),
  );
  if (!applied.ok) return applied;
  return succeed(applied.value.version);
}
