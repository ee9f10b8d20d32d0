import {PresenceState, type Presence} from '@vanillamux/protocol';
import {Backend} from '../src/fleet/backend.js';
import type {ReportBatch} from '../src/fleet/backend_pool.js';
import type {WorkItem} from '../src/fleet/work_item.js';

/** Report of a ready backend server; by default its host name is its id. */
export function createPresence(fields: Partial<Presence>): Presence {
  return {
    id: 'b',
    incarnation: 1,
    sequence: 1,
    state: PresenceState.Ready,
    service: 'notes',
    address: {host: fields.id ?? 'b', port: 80},
    failureDomain: 'fd-a',
    capacity: 11,
    ...fields,
  };
}

/** Reports of one control host that has not restarted. */
export function reported(...reports: readonly Presence[]): ReportBatch {
  return {from: 'control-1', registryId: 'registry-1', reports};
}

/** Ready backend servers `b0`, `b1`, … in one failure domain. */
export function createBackends(count: number): Backend[] {
  return Array.from(
    {length: count},
    (_, at) => new Backend(createPresence({id: `b${at}`})),
  );
}

/**
 * Work that loses one credit when it is late, with goals of 300 ms for the
 * first event and 250 ms for pauses.
 */
export function createWork(fields: Partial<WorkItem>): WorkItem {
  return {
    prefillMs: 0,
    contextTokens: 0,
    decodeMs: 0,
    pauseGoalMs: 250,
    firstEventGoalMs: 300,
    lossIfLate: 1,
    ...fields,
  };
}
