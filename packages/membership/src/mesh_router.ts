import {rpcBuilder} from '@vanillamux/rpc';
import {deltaSchema} from './delta_schema.js';
import type {EntryMesh} from './entry_mesh.js';

/** Creates the routes through which entry hosts reach each other. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createMeshRouter(mesh: EntryMesh) {
  const {procedure, router} = rpcBuilder;
  return router({
    push: procedure
      .input(deltaSchema)
      .mutation(({input}) => mesh.receiveDelta(input)),
  });
}

/** The part of an entry host's router that peers use. */
export type MeshRouterRoot = ReturnType<
  typeof rpcBuilder.router<{mesh: ReturnType<typeof createMeshRouter>}>
>;
