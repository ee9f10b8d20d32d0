import {PresenceState, type Presence} from '@vanillamux/protocol';
import {Backend} from '../src/fleet/backend.js';
import type {WorkItem} from '../src/fleet/work_item.js';

/** A report of a ready backend server; its address follows from its id. */
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

/** Ready backend servers `b0`, `b1`, … in one failure domain. */
export function createBackends(count: number): Backend[] {
  return Array.from(
    {length: count},
    (_, at) => new Backend(createPresence({id: `b${at}`})),
  );
}

/** Work that is worth one credit and aims at 300 ms and pauses of 250 ms. */
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
