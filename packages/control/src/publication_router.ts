import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {z} from 'zod';
import type {Publisher} from './publisher.js';

const documentSchema = z.object({
  version: z.number().int().min(0),
  digest: z.string(),
  text: z.string(),
});

/** Creates the routes by which other control hosts call the leader. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createPublicationRouter(publisher: Publisher) {
  const {procedure, router} = rpcBuilder;
  return router({
    publish: procedure
      .input(documentSchema)
      .mutation(async ({input}) =>
        unwrap(await publisher.publishAsLeader(input)),
      ),
    read: procedure.query(async () => unwrap(await publisher.readAsLeader())),
  });
}
