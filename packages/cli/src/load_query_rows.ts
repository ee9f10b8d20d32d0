import type {EntryStatus} from '@vanillamux/entry';
import {Subject, type QueryRow, type ShowQuery} from '@vanillamux/query';
import {succeed, type Result} from '@vanillamux/shared';
import type {OperatorSession} from './operator_session.js';
import {toDeclarationRow} from './to_declaration_row.js';

const MAX_RECORD_ENTRIES_PER_HOST = 10_000;

/** Loads all rows of the subject of a query, before its conditions apply. */
export async function loadQueryRows(
  session: OperatorSession,
  query: ShowQuery,
): Promise<Result<QueryRow[]>> {
  switch (query.subject) {
    case Subject.Requests:
      return succeed(await loadRequests(session, query.sinceMs));
    case Subject.Backends:
      return succeed(await loadBackends(session));
    case Subject.Hosts:
      return succeed(await loadHosts(session));
    case Subject.Register:
      return loadReservations(session);
    case Subject.Workspaces:
    case Subject.Classes:
      return loadDeclaredItems(session, query.subject);
    case Subject.Versions:
      return loadVersions(session);
    case Subject.Domains:
      return loadDomains(session);
  }
}

async function loadRequests(
  session: OperatorSession,
  sinceMs?: number,
): Promise<QueryRow[]> {
  const {entries} = await session.collectRecord({
    limit: MAX_RECORD_ENTRIES_PER_HOST,
  });
  const oldestAt =
    sinceMs === undefined ? '' : new Date(Date.now() - sinceMs).toISOString();
  return entries
    .filter(({at, requestId}) => at >= oldestAt && requestId !== undefined)
    .map(entry => ({
      at: entry.at,
      state: entry.kind,
      request: entry.requestId ?? '',
      workspace: entry.workspace ?? '',
      class: entry.class ?? '',
      target: entry.target ?? '',
      tokens: entry.promptTokens ?? 0,
      backend: entry.backend ?? '',
      ran: entry.ran ?? '',
      code: entry.code ?? '',
      first_token_ms: entry.firstTokenMs ?? '',
      duration_ms: entry.durationMs ?? '',
    }));
}

async function loadBackends(session: OperatorSession): Promise<QueryRow[]> {
  const backends = await session.collectBackends();
  return backends.map(backend => ({
    id: backend.id,
    kind: backend.service ?? backend.kind,
    domain: backend.failureDomain,
    state: backend.state,
    models: backend.models.join(' '),
    queued: Math.round(backend.load.queuedPrefillTokens),
    free: Math.round(backend.load.freeTokens),
    streams: backend.load.runningStreams,
  }));
}

async function loadHosts(session: OperatorSession): Promise<QueryRow[]> {
  const control = await session.control.callAll((api, signal) =>
    api.group.status.query(undefined, {signal}),
  );
  const entries = await session.callEntryHosts<EntryStatus>((api, signal) =>
    api.status.query(undefined, {signal}),
  );
  return [
    ...control.map(({address, result}) => ({
      host: result.ok
        ? result.value.selfId.split('/')[0]!
        : `${address.host}:${address.port}`,
      kind: 'control',
      state: result.ok ? result.value.role : 'unreachable',
    })),
    ...entries.map(({address, result}) => ({
      host: result.ok ? result.value.id : `${address.host}:${address.port}`,
      kind: 'entry',
      state: result.ok
        ? result.value.isReady
          ? 'ready'
          : 'not_ready'
        : 'unreachable',
    })),
  ];
}

async function loadReservations(
  session: OperatorSession,
): Promise<Result<QueryRow[]>> {
  const reservations = await session.control.callLeader((api, signal) =>
    api.register.list.query(undefined, {signal}),
  );
  if (!reservations.ok) return reservations;
  return succeed(
    reservations.value.map(({workspace, service, key, state, requestId}) => ({
      workspace,
      service,
      key,
      state,
      request: requestId,
    })),
  );
}

async function loadDeclaredItems(
  session: OperatorSession,
  subject: Subject.Workspaces | Subject.Classes,
): Promise<Result<QueryRow[]>> {
  const current = await session.control.callLeader((api, signal) =>
    api.declarations.current.query(undefined, {signal}),
  );
  if (!current.ok) return current;
  const items: object[] = current.value.document[subject];
  return succeed(items.map(toDeclarationRow));
}

async function loadVersions(
  session: OperatorSession,
): Promise<Result<QueryRow[]>> {
  const history = await session.control.callLeader((api, signal) =>
    api.declarations.history.query(undefined, {signal}),
  );
  if (!history.ok) return history;
  return succeed(
    history.value.map(({version, operator, acceptedAtMs}) => ({
      version,
      operator,
      accepted: new Date(acceptedAtMs).toISOString(),
    })),
  );
}

/** Failure domains that have control hosts or backend servers, or are emptied. */
async function loadDomains(
  session: OperatorSession,
): Promise<Result<QueryRow[]>> {
  const known = await session.control.callLeader(async (api, signal) => ({
    view: await api.evacuation.read.query(undefined, {signal}),
    group: await api.group.status.query(undefined, {signal}),
  }));
  if (!known.ok) return known;
  const {view, group} = known.value;
  const backends = await session.collectBackends();
  const names = new Set([
    ...view.failureDomains,
    ...[...group.members, ...backends].map(({failureDomain}) => failureDomain),
  ]);
  return succeed(
    [...names].sort().map(domain => ({
      domain,
      state: view.failureDomains.includes(domain) ? 'emptied' : 'in_use',
      revision: view.revision,
    })),
  );
}
