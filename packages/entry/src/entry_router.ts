import {createMeshRouter} from '@vanillamux/membership';
import type {DeclaredVersion} from '@vanillamux/protocol';
import {rpcBuilder} from '@vanillamux/rpc';
import {monotonicMs} from '@vanillamux/shared';
import {z} from 'zod';
import type {EntryHost} from './entry_host.js';
import {createReservationRouter} from './reservation_router.js';

/** Creates the router for peers and operators. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createEntryRouter(host: EntryHost) {
  const {procedure, router} = rpcBuilder;
  return router({
    mesh: createMeshRouter(host.mesh),
    reservations: createReservationRouter(host.reservationManager),
    status: procedure.query(() => host.status()),
    /** The declarations in force here, if newer than the caller's. */
    declared: procedure
      .input(z.object({haveVersion: z.number().int().min(0)}))
      .query(({input}): DeclaredVersion | undefined => {
        const {declaredVersion: declared} = host.declarations.current;
        const isNewer = (declared?.version ?? 0) > input.haveVersion;
        return isNewer ? declared : undefined;
      }),
    backends: procedure.query(() =>
      host.table.list().map(({announcement, announcedMs: heardMs}) => ({
        ...announcement,
        cache: undefined,
        ageMs: Math.round(monotonicMs() - heardMs),
      })),
    ),
    /** Entries of the record that no control host has confirmed yet. */
    undelivered: procedure.query(() => host.recorder.undelivered),
    events: procedure.query(() => host.timeline.events()),
  });
}

/** Type of the router, for clients. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
