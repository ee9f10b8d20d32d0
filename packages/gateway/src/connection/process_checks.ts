import {SharedTask, sleep} from '@vanillamux/shared';
import type {Dialect} from '../dialect/dialect.js';
import type {ReportedIdentity} from '../dialect/reported_identity.js';
import type {Backend} from '../fleet/backend.js';
import type {CheckedProcess} from './checked_process.js';
import type {ConnectionPools} from './connection_pools.js';
import type {Exchange} from './exchange.js';
import {ListenerState} from './listener_state.js';

/** Steps of the time in which a backend server that is not busy answers. */
const ANSWER_STEPS = 5;
const ANSWER_STEP_MS = 20;
/** Incarnation of a backend server that names none. */
const UNKNOWN_INCARNATION = 0;

/** Options of `ProcessChecks`. */
export interface ProcessChecksOptions {
  readonly connections: Pick<ConnectionPools, 'sendOnce' | 'listenerState'>;
  readonly dialect: Pick<Dialect, 'writeIdentityCall' | 'readIdentity'>;
}

/**
 * Finds out whether the process of a backend server goes on. Many bodies may end
 * at a backend server at once, so that one check at a time serves them all.
 */
export class ProcessChecks {
  private readonly checks = new WeakMap<Backend, SharedTask<CheckedProcess>>();

  constructor(private readonly options: ProcessChecksOptions) {}

  /** What listens at the address of a backend server now or a moment later. */
  check(backend: Backend): Promise<CheckedProcess> {
    let check = this.checks.get(backend);
    if (!check) {
      check = new SharedTask(() => this.run(backend));
      this.checks.set(backend, check);
    }
    return check.run();
  }

  /** A process that answers goes on; one that doesn't may be busy, or have ended. */
  private async run(backend: Backend): Promise<CheckedProcess> {
    const identity = await this.ask(backend);
    if (!identity) {
      const {connections} = this.options;
      return {state: await connections.listenerState(backend)};
    }
    if (identity.isOther) return {state: ListenerState.Replaced};
    const {incarnation} = backend.presence;
    const isRestarted =
      incarnation !== UNKNOWN_INCARNATION &&
      identity.incarnation !== undefined &&
      identity.incarnation !== incarnation;
    if (!isRestarted) return {state: ListenerState.Listening};
    const {startedAtMs} = identity;
    return {state: ListenerState.Replaced, startedAtMs};
  }

  /** Returns what the process says of itself, or nothing without an answer. */
  private async ask(backend: Backend): Promise<ReportedIdentity | undefined> {
    const {connections, dialect} = this.options;
    const {path, headers} = dialect.writeIdentityCall(backend.presence.id);
    const request = {method: 'GET' as const, path, headers};
    const exchange = connections.sendOnce(backend, request);
    const ended = new AbortController();
    void cancelLate(exchange, ended.signal);
    try {
      exchange.limitBody();
      const head = await exchange.head();
      if (!head.ok) return undefined;
      const chunks: Buffer[] = [];
      for (;;) {
        const chunk = await exchange.read();
        if (!chunk.ok) return undefined;
        if (!chunk.value) break;
        chunks.push(chunk.value);
      }
      return dialect.readIdentity(head.value.status, Buffer.concat(chunks));
    } finally {
      ended.abort();
    }
  }
}

/** Gives an exchange up in steps, of which a time in which this host is busy takes one. */
async function cancelLate(
  exchange: Exchange,
  ended: AbortSignal,
): Promise<void> {
  for (let step = 0; step < ANSWER_STEPS && !ended.aborted; step++)
    await sleep(ANSWER_STEP_MS, ended);
  if (!ended.aborted) exchange.cancel('no answer in time');
}
