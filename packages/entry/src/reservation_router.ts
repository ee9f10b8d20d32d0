import type {KvReservationManager} from '@vanillamux/routing';
import {rpcBuilder} from '@vanillamux/rpc';
import {z} from 'zod';

const MAX_LEASE_MS = 60_000;

const reserveSchema = z.object({
  backendId: z.string(),
  holder: z.string(),
  tokens: z.number().int().positive(),
  leaseMs: z.number().int().positive().max(MAX_LEASE_MS),
});

const releaseSchema = z.object({backendId: z.string(), holder: z.string()});

/** Creates the RPC routes by which other entry hosts reserve KV memory. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createReservationRouter(book: KvReservationManager) {
  const {procedure, router} = rpcBuilder;
  return router({
    reserve: procedure
      .input(reserveSchema)
      .mutation(({input}) => book.reserve(input)),
    release: procedure
      .input(releaseSchema)
      .mutation(({input}) => book.release(input.backendId, input.holder)),
  });
}
